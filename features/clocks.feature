Feature: the time of day may jump

  Scenario Outline: A host whose time of day jumps
    The host's time of day is set <way> by 20 seconds while a request waits.
    With timers that follow it, the request is given up <fault>.
    Given a loop whose time of day can jump, with a timer of 10 seconds
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

  Scenario: Every daemon's timers run steadily
    Then each module that runs an entry host's loop makes it run steadily
