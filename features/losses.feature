Feature: late, refused and failed requests by cause, from the logs of hosts

  Scenario: Each request counts once, by the cause of its missed target
    Late requests waited in the queue of a stage, were refused first, or
    paused while they streamed; each cause needs a different remedy.
    Given the logs of a morning
    When its losses are printed as a document
    Then the 8 requests of "draft" have these counts by cause
      | cause                  | requests |
      | in aim                 | 1        |
      | late: queued at encode | 1        |
      | late: refused first    | 1        |
      | late: read late        | 1        |
      | late: paused           | 1        |
      | refused: busy at encode | 2       |
      | failed: upstream 500   | 1        |
    And the refusals of "draft" had 300 ms of wait, 120 ms spare and 2 pieces ahead
    And 7 MB of "draft" crossed domains and 3 results were unused
    And "encode" ran 12 pieces in 2 calls, and had no free memory for 4

  Scenario: A refusal for the sake of others has a cause of its own
    The caller is told that the queue is busy in both cases. A team over its
    share and a stage that is too small need different remedies.
    Given the logs of a queue that refused a request for "team share"
    When its losses are printed as a document
    Then the 1 requests of "draft" have these counts by cause
      | cause                         | requests |
      | refused: team share at encode | 1        |

  Scenario: The document can be rendered as a page
    Given the logs of a morning
    When its losses are printed as a document
    And a report page is rendered from them
    Then the report's page has a table with "12" and "4"

  Scenario: The tables fit a terminal
    Given the logs of a morning
    When its losses are printed as a table
    Then no line is longer than 80 characters
    And a line contains "late: queued at encode"

  Scenario: A file without log lines of entry hosts
    Given a file without log lines
    When its losses are printed as a table
    Then there are no loss tables, with exit code 2 and "no log lines"

  Scenario: Progress is printed while a long input is read
    Given the logs of a morning, read in 10 seconds
    Then progress is printed at least 2 times
