Feature: adapter of the users' platform

  Scenario: A settings file gives the host's settings
    Given a settings file of the platform
    Then its settings have the host "front-a-1" in "zone-a" and the store "10.9.0.7:8624"

  Scenario Outline: An invalid settings file gives a one-line error
    Given a settings file of the platform with <fault>
    Then it is rejected with one line that names "<field>"

    Examples:
      | fault                | field              |
      | no zone              | zone               |
      | a port that is text  | listen.front       |
      | a ratio that is text | bounds.retry_ratio |

  Scenario: A settings file that changes while the host runs
    An operator changes a bound, then makes the file invalid. The first change
    is applied. The second leaves the last valid settings in force and is logged
    once.
    Given a settings file of the platform that is watched
    When its revocation bound is set to 3000
    Then the host applies 3 seconds
    When its revocation bound is set to much
    Then the host applies nothing more, and one log line names "bounds.revoke_ms"

  Scenario: The operator's configuration is decoded to a route table
    Given a configuration of the platform
    Then the longest prefix of "h.example" is "/a/b/" and goes to two services
    And its steps are "intake" and, after it, "portal" with 60000 bytes
    And "intake" accepts 8 pieces in 240 ms and has 9330000 bytes of result memory
    And the key "k1" belongs to the team "t1" with urgency 1

  Scenario: An error of an invalid configuration names the route
    Given a configuration of the platform with a route of an unknown kind
    Then decoding it fails and names the route

  Scenario: A registry entry is decoded to an upstream
    Given a registry entry of the platform that is draining
    Then the upstream is leaving, with its service, address and domain
    And a malformed entry gives no upstream

  Scenario Outline: A registry entry states the version of its software: <version>
    Given a registry entry of the platform with the version <version>
    Then the decoded upstream <outcome>

    Examples:
      | version | outcome             |
      | "v1.2"  | has software "v1.2" |
      | null    | has software ""     |
      | 3       | is invalid          |

  Scenario Outline: Responses of the store are mapped to outcomes
    Given the platform's store answers <answer>
    Then the store call <call> returns <outcome>

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

  Scenario: An unconditional write creates an absent object
    Given the platform's store answers 404 and then an object
    Then the store call put returns Written
    And the store was called with "PUT" and then "POST"

  Scenario: A batch and its results keep their order
    Given a batch of a piece with a key and of one with inputs
    Then its body has key, inputs, numbers and remaining time
    And results of another count or in a malformed body are rejected

  Scenario: The package contains no wire names of the platform
    Then no file of pollenstile contains a wire name of the platform
    And the adapter has fewer than 800 lines
    And the standard library's module of the same name is found
