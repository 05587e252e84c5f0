Feature: rates that upstreams accept from all hosts together

  Scenario Outline: The header of an answer: "<header>"
    Given an upstream that a host knows nothing of
    When its answer states "<header>"
    Then its known rate is <rate>

    Examples:
      | header    | rate |
      | 2.5       | 2.5  |
      | 0         | 0.1  |
      | -1        | 0    |
      | nan       | 0    |
      | inf       | 0    |
      | many      | 0    |
      | 1e9       | 0    |
      | 4, 1      | 1    |

  Scenario: An unreadable value changes nothing and is logged once
    Given an upstream that a host knows nothing of
    When its answer states "2"
    And 20 answers state "?"
    Then its known rate is 2
    And one line tells of an unreadable rate

  Scenario: A rate is over once an answer without it proves whose it is
    Given an upstream that a host knows nothing of
    When its answer states "2"
    And an answer without a rate proves nothing
    Then its known rate is 2
    When an answer without a rate proves whose it is
    Then its known rate is 0

  Scenario: A send's line tells the rate that the host knew
    Given a forwarded "idempotent" request
    When the upstream of forwarded send 0 has stated a rate of 2 a second
    Then a line tells of the rate of that upstream
