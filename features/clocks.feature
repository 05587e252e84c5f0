Feature: timers do not depend on the time of day

  Scenario Outline: A host whose time of day jumps
    The host's time of day is set <way> by 20 seconds while a request waits.
    If timers used the time of day, the request would time out <fault>.
    Given a reactor whose time of day can jump, with a timer of 10 seconds
    When the time of day jumps by <jump> seconds
    Then the timer has not fired
    When 9 more seconds pass
    Then the timer has not fired
    When 2 more seconds pass
    Then the timer has fired

    Examples:
      | way     | jump | fault               |
      | forward | 20   | at once             |
      | back    | -20  | 20 seconds too late |

  Scenario: Every daemon's timers use the boot clock
    Then each module that runs an entry host's reactor sets the boot clock
