Feature: upstreams that state that they want no more requests

  Scenario Outline: An answer's header of a leaving upstream: "<header>"
    Given the permissions of a host
    When an answer states leaving with "<header>"
    Then it is <known> that its upstream leaves

    Examples:
      | header | known     |
      | 1      | known     |
      | 0      | not known |
      | yes    | not known |

  Scenario Outline: The time of an upstream that turns a request away: "<header>"
    Given the permissions of a host
    When an answer 503 asks for rest with "<header>"
    Then its upstream rests for <seconds> seconds

    Examples:
      | header                        | seconds |
      | 3                             | 3       |
      | 1.5                           | 1.5     |
      | 0                             | 0       |
      | -1                            | 0       |
      | soon                          | 0       |
      | nan                           | 0       |
      | 1e9                           | 300     |
      | Wed, 21 Oct 2026 07:28:04 GMT | 4       |

  Scenario: A date in an answer that has no date of its own is not read
    The clocks of hosts and upstreams differ.
    Given the permissions of a host
    When an answer 503 without a date asks for rest with "Wed, 21 Oct 2026 07:28:04 GMT"
    Then its upstream rests for 0 seconds
    And one line "rest-unreadable" tells of it

  Scenario: Only an answer that turns a request away asks for rest
    Given the permissions of a host
    When an answer 200 asks for rest with "3"
    Then its upstream rests for 0 seconds

  Scenario: Of several times that are asked for the one that ends last counts
    Given the permissions of a host
    When an answer 503 asks for rest with "3"
    And an answer 503 asks for rest with "1"
    Then its upstream rests for 3 seconds
    When 2 seconds pass for the permissions
    And an answer 503 asks for rest with "2"
    Then its upstream rests for 2 seconds
    And one line "upstream-resting" tells of it

  Scenario: Unreadable values are logged once in a while
    Given the permissions of a host
    When 20 answers state leaving with "yes"
    Then one line "leaving-unreadable" tells of it

  Scenario: Lines tell which upstream leaves or rests, and what a send knew of it
    Given a forwarded "idempotent" request
    When the upstream of forwarded send 0 turns it away, leaves, and asks for 3 seconds of rest
    Then lines tell that this upstream leaves, and that it rests for 3 seconds
    And each send's line tells whether its upstream was known to want no requests
