Feature: a request's story from the logs of several hosts

  Scenario: A refused request is told in the order of time
    A salon complains. Its clerk has the request's id; the lines are spread
    over the logs of two hosts, in no order, among those of other requests.
    Given the logs of a refused request on two hosts
    When the story of "e17b8015f7d7a9f0" is asked for
    Then the story has 4 lines, in the order of time
    And the story ends with "reason=gone"
    And the story says what each line means

  Scenario: A request that is in no log
    Given the logs of a refused request on two hosts
    When the story of "0000" is asked for
    Then there is no story, with exit code 1 and "none of 6 lines"

  Scenario: A file that holds no logs
    Given a file that holds no logs
    When the story of "0000" is asked for
    Then there is no story, with exit code 2 and "no log lines"
