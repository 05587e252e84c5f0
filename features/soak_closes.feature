Feature: live soak: answers that end in unusual ways

  Scenario: A host that takes each close for an end is noticed
    Callers get a part of an answer as a whole one when its upstream is killed.
    When live soaks run without the guard "ends"
    Then a live soak reported: "wrong answer"

  Scenario Outline: Hosts that don't serve what ends with its connection are noticed
    Guards against hosts that are safe only as they take no close for an end.
    Given <count> requests with sound answers that ended with their connections
    When <lost> of them got "<end>"
    Then the checks of ends count <served> of <undisturbed> and report <lines> violations

    Examples:
      | count | lost | end     | served | undisturbed | lines |
      | 20    | 0    | whole   | 20     | 20          | 0     |
      | 20    | 2    | 503     | 18     | 20          | 0     |
      | 20    | 3    | 503     | 17     | 20          | 1     |
      | 20    | 3    | 502     | 17     | 20          | 1     |
      | 20    | 3    | cut off | 17     | 20          | 1     |

  Scenario Outline: A request that met a fault beside is no evidence
    Given 20 requests with sound answers that ended with their connections
    When 20 of them got "502"
    And "<fault>" struck "<subject>" meanwhile
    Then the checks of ends count 0 of 0 and report 0 violations

    Examples:
      | fault  | subject   |
      | killed | engines-1 |
      | pause  | h1        |

  Scenario: A request that met an end that is a fault is counted beside it
    Guards against runs in which no such end was met.
    Given 20 requests with sound answers that ended with their connections
    When 20 of them got "502"
    And they met an answer that was "killed"
    Then the checks of ends count 0 of 0 and report 0 violations
    And the checks of ends count 20 times "killed 502"
