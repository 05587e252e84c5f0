Feature: what callers lost, and where, from the logs of entry hosts

  Scenario: Each request counts once, by what kept it from its aim
    After a heavy morning an operator asks where requests were lost. Those that
    were late wait in one stage's queue, were refused first, or paused; each
    has its own remedy.
    Given the logs of a morning
    When its losses are asked for as a document
    Then of the 8 requests of "draft" these counts are told
      | cause                  | requests |
      | in aim                 | 1        |
      | late: queued at encode | 1        |
      | late: refused first    | 1        |
      | late: read late        | 1        |
      | late: paused           | 1        |
      | refused: busy at encode | 2       |
      | failed: upstream 500   | 1        |
    And the refusals of "draft" had 300 ms of wait, 120 to spare and 2 ahead
    And 7 MB of "draft" crossed domains and 3 results were unused
    And "encode" made 12 pieces in 2 calls, and had no room for 4

  Scenario: The document becomes a page
    Given the logs of a morning
    When its losses are asked for as a document
    And a report is made of them
    Then the report's page has a table with "12" and "4"

  Scenario: The tables fit a terminal
    Given the logs of a morning
    When its losses are asked for as a table
    Then no line is longer than 80 characters
    And a line says "late: queued at encode"

  Scenario: A file that holds no logs of entry hosts
    Given a file that holds no logs
    When its losses are asked for as a table
    Then there are no losses, with exit code 2 and "no log lines"

  Scenario: A long input tells how far it is read
    Given the logs of a morning, read in 10 seconds
    Then the reading tells its progress at least 2 times
