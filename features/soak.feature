Feature: soak: randomised fault tests of real nodes in virtual time

  Scenario: The same soak seed gives the same run
    A fault that a seed has shown must be reproducible with this seed.
    Then soak seed 1 of 200 steps gives the same digest twice
    And soak seeds 1 and 2 of 200 steps give different digests

  Scenario Outline: Every invariant holds in a soak
    Hosts are killed and suspended, links are cut, upstreams crash, messages
    are lost or reordered, the store fails; callers time out and retry.
    When soak seed <seed> of 400 steps is run
    Then the soak has no violation and answers of every kind

    Examples:
      | seed |
      | 2    |
      | 19   |
      | 76   |

  Scenario Outline: Every invariant holds while the store comes back from copies
    When soak seed <seed> of 150 steps is run with returns of the store
    Then no invariant of the soak is broken

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: No answer is cut off while sound upstreams stand still
    Guards against hosts that take the silence of a living upstream for its end.
    When soak seeds 1 to 3 of 200 steps are run with silences of upstreams
    Then no answer of these soaks is cut off, and no other invariant is broken

  Scenario: Each request that a host has read has an answer when its grace ends
    Guards against hosts that are killed with requests that they could refuse.
    When soak seeds 1 to 3 of 200 steps are run with stops that requests outlast
    Then these soaks broke no invariant and answered 50 requests or more

  Scenario: Requests leave an engine that repeats a token without end
    Guards against hosts that take bytes which bring nothing for signs of life.
    When soak seeds 1 to 2 of 400 steps are run with endless engines
    Then these soaks broke no invariant and answered 50 requests or more

  Scenario: Soaks of graces and of endless engines are repeatable
    Then soaks of seed 1 with graces and with endless engines repeat

  Scenario Outline: A soak catches a missing guard
    Without the guard that ensures an invariant, some seed must violate this
    invariant. Otherwise the soak could not detect a fault of the guard.
    When soaks from seed <seed> of <steps> steps are run without "<guard>"
    Then one of the soaks reports "<invariant>" with a tail and exit code 1

    Examples: first seed that violated the invariant when this was written
      | guard                        | invariant              | seed | steps |
      | one outcome                  | finished-twice         | 2    | 200   |
      | timeouts                     | late                   | 3    | 200   |
      | timeouts                     | outcomes               | 1    | 200   |
      | timeouts                     | left-open              | 1    | 200   |
      | foreign replies              | wrong-answer           | 3    | 200   |
      | foreign refusals             | ran-twice              | 4    | 200   |
      | late replies                 | consumed-twice         | 3    | 200   |
      | replies of cut attempts      | consumed-after-cut     | 110  | 200   |
      | sound refusals               | crashed                | 2    | 200   |
      | offsets                      | stream                 | 3    | 200   |
      | short streams                | wrong-answer           | 4    | 200   |
      | one run                      | handed-over-twice      | 1    | 200   |
      | one run                      | ran-twice              | 7    | 200   |
      | claims                       | key-ran-twice          | 1    | 200   |
      | memory of runs               | not-run-but-dispatched | 1    | 200   |
      | memory of runs               | not-run-but-ran        | 1    | 200   |
      | truthful refusals            | not-run-but-ran        | 1    | 200   |
      | cancelled losers             | consumed-after-outcome | 1    | 200   |
      | waiting for the last request | cut-by-shutdown        | 7    | 200   |
      | leaving                      | sent-to-leaving        | 1    | 200   |
      | membership                   | sent-to-leaving        | 1    | 200   |
      | rising versions              | version-went-back      | 2    | 200   |

  Scenario: A killed soak process runs nothing
    A process is killed while timers are scheduled and messages are in transit.
    A killed process must not run either of them.
    Given a soak process with a scheduled timer and a message in transit
    When the soak process is killed
    Then nothing of the soak process runs

  Scenario: A frozen soak process runs its overdue timers first
    A process is suspended. When it resumes, its timers are overdue and answers
    are buffered; an overdue timer that another timer cancels must not run.
    Given a soak process with a scheduled timer and a message in transit
    When the soak process is frozen while both become due, then resumed
    Then the soak process ran the timer, then the message

  Scenario: Wrong soak flags are refused
    Then "pollenstile soak --seeds 9-3" is refused with exit code 2
    And "pollenstile soak --steps 0" is refused with exit code 2
