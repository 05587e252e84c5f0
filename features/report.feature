Feature: HTML pages from result files of benchmarks

  Scenario: The report of a policy benchmark shows every number
    Given a report's result file of two policy runs
    When the report command is run on it
    Then the report's page has a table with "0.995" and "68.4"

  Scenario Outline: A file that is not a result gives no report
    Given a report's result file that holds "<content>"
    When the report command is run on it
    Then the report command exits with 2 and writes no page

    Examples:
      | content         |
      | {"other": 1}    |
      | [{"policy": 1}] |
      | not JSON        |
