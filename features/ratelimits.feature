Feature: rates that upstreams accept from all hosts together

  Scenario Outline: Hosts that know an upstream's rate keep the sum of it: <rate> a second
    Each host knows the rate from an answer, and together they send more.
    Given 9 hosts and 9 upstreams in 4 failure domains that state their rates
    When an upstream states a rate of <rate> a second, with <load> requests a second to all hosts for 20 seconds
    Then in no 4 seconds it gets more from the hosts that know than the rate allows

    Examples:
      | rate | load |
      | 0.2  | 25   |
      | 1    | 25   |
      | 2.5  | 60   |

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
