Feature: logs are bounded and never block

  Scenario: Standard output that nobody reads
    A collector of logs hangs and its pipe fills up. A blocking write would
    stop the host with all its requests.
    Given a log stream into a pipe that nobody reads
    When 5000 long log lines are written
    Then all log writes return, and most lines are dropped and counted
    When the pipe is read and 3 more log lines are written
    Then no log line is torn
    And a log line says how many were dropped

  Scenario: A fault that logs in a loop
    Given a log stream of at most 50 lines a second
    When 80 log lines are written in one second
    Then 50 log lines came and 30 were dropped

  Scenario: A reader that has gone
    Given a log stream into a pipe whose reader is gone
    When 3 long log lines are written
    Then all log writes return

  Scenario: Measures count what happened, also when its line was dropped
    Given measures over a log that drops all lines
    When a request ends "answered" after 900 ms and another is refused
    Then the measures say 1 "answered", 1 "refused" and one time under 1.2 s
