Feature: log output is rate-limited and never blocks

  Scenario: Standard output that is not read
    The log collector hangs and its pipe fills up. A blocking write would stop
    the host with all its requests.
    Given a log stream into a pipe that is not read
    When 5000 long log lines are written
    Then all log writes return, and most lines are dropped and counted
    When the pipe is read and 3 more log lines are written
    Then every log line is complete
    And a log line gives the number of dropped lines

  Scenario: A fault that logs in a loop
    Given a log stream of at most 50 lines a second
    When 80 log lines are written in one second
    Then 50 log lines were written and 30 were dropped

  Scenario: A reader that has closed its pipe
    Given a log stream into a pipe whose reading end is closed
    When 3 long log lines are written
    Then all log writes return

  Scenario: Metrics count events whose log lines were dropped
    Given metrics over a log that drops all lines
    When a request ends "answered" after 900 ms and another is refused
    Then the metrics show 1 "answered", 1 "refused" and one time under 1.2 s
