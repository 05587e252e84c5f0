Feature: a request's timeline from the logs of several hosts

  Scenario: The timeline of a refused request is ordered by time
    The caller gives the request's id. Its log lines are spread over the logs
    of two hosts, unordered and mixed with those of other requests.
    Given the logs of a refused request on two hosts
    When the timeline of "e17b8015f7d7a9f0" is requested
    Then the timeline has 4 lines, ordered by time
    And the timeline ends with "reason=gone"
    And the timeline gives the meaning of each line

  Scenario: The timeline of a stream has the tries that took it up again
    Guards against a stream whose software versions can't be followed over its tries.
    Given the logs of a stream that another host took up again
    When the timeline of "e17b8015f7d7a9f0" is requested
    Then the timeline shows the versions "v1, v1.2" in this order

  Scenario: A request that is in no log
    Given the logs of a refused request on two hosts
    When the timeline of "0000" is requested
    Then there is no timeline, with exit code 1 and "none of 6 lines"

  Scenario: A file without log lines
    Given a file without log lines
    When the timeline of "0000" is requested
    Then there is no timeline, with exit code 2 and "no log lines"
