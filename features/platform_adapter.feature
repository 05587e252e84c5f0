Feature: the adapter of the users' platform only translates

  Scenario: A settings file gives the host's settings
    Given a settings file of the platform
    Then it gives the host "front-a-1" in "zone-a" and the store "10.9.0.7:8624"

  Scenario Outline: A wrong settings file gives one clear line
    Given a settings file of the platform with <fault>
    Then it is refused with a line that names "<field>"

    Examples:
      | fault                | field              |
      | no zone              | zone               |
      | a port that is text  | listen.front       |
      | a ratio that is text | bounds.retry_ratio |

  Scenario: A settings file that changes while the host runs
    An operator changes a bound, then tears the file. The first is taken; the
    second leaves the last good settings in force, and is logged once.
    Given a settings file of the platform that is watched
    When its bound of revocation becomes 3000
    Then the host takes 3 seconds
    When its bound of revocation becomes much
    Then the host takes nothing more, and one line names "bounds.revoke_ms"

  Scenario: The operator's configuration becomes a route table
    Given a configuration of the platform
    Then the longest prefix of "h.example" is "/a/b/" and goes to two services
    And its steps are "intake" and, after it, "portal" with 60000 bytes
    And "intake" takes 8 pieces in 240 ms and has room for 9330000 bytes
    And the key "k1" belongs to the team "t1" with urgency 1

  Scenario: A configuration of another shape is refused with its place
    Given a configuration of the platform with a route of an unknown kind
    Then decoding it fails and names the route

  Scenario: A registry entry becomes an upstream
    Given a registry entry of the platform that is draining
    Then the upstream is leaving, with its service, address and domain
    And an entry of another shape gives none

  Scenario Outline: Answers of the store become outcomes
    Given the platform's store answers <answer>
    Then the store call <call> gives <outcome>

    Examples:
      | answer                    | call   | outcome     |
      | an object                 | get    | Found       |
      | 404                       | get    | Absent      |
      | 503                       | get    | Unavailable |
      | nothing                   | get    | Unavailable |
      | something else            | get    | Unavailable |
      | a page                    | list   | Listing     |
      | events                    | watch  | Changes     |
      | 410                       | watch  | Compacted   |
      | an object                 | put    | Written     |
      | a conflict                | put    | Conflict    |
      | 503                       | put    | NotApplied  |
      | 429                       | put    | NotApplied  |
      | nothing                   | put    | InDoubt     |
      | no connection             | put    | NotApplied  |
      | 500                       | put    | InDoubt     |

  Scenario: A write without a condition creates where nothing stands
    Given the platform's store answers 404 and then an object
    Then the store call put gives Written
    And the store was called with "PUT" and then "POST"

  Scenario: A batch and its results keep their order
    Given a batch of a first piece and of one with inputs
    Then its body names key, inputs, numbers and what is left
    And results of another count or shape are taken for none

  Scenario: Nothing outside the adapter knows the platform's names
    Then no file of the product holds a name of the platform's wire
    And the adapter has fewer than 800 lines
    And the standard library's module of the same name is found
