Feature: Whether a process lives on that has closed a connection

  Scenario Outline: A close of an upstream whose witness <event>
    Guards against a close that is taken for the end of an answer, and against sound answers that are lost.
    Given an answer that ends with its connection
    When its witness <event>
    And its connection is closed
    Then its upstream counts as <state>

    Examples:
      | event                                     | state |
      | stays open                                | alive |
      | ends with the answer                      | ended |
      | is closed as it is idle                   | alive |
      | stays open, and nobody listens            | alive |
      | is closed as nobody listens               | ended |
      | is turned away                            | alive |
      | is turned away, and nobody listens        | ended |
      | stays open, and nothing is heard          | ended |
      | is closed while the caller does not read  | ended |
      | stays open while the caller does not read | alive |

  Scenario: Answers that end at the same moment share a round trip
    Guards against a burst of connections to an upstream that ends many answers.
    Given an answer that ends with its connection
    When 100 answers of one upstream end at the same moment
    Then 100 answers are confirmed by 3 connections or fewer
    And no witness is left once 100 answers are over

  Scenario Outline: A report tells whether the process lives on: <process>
    Guards against a process that has just started, which a new connection reaches.
    Given an upstream that states its start, and whose report shows <process>
    Then a close is the end of its answer: <reached>, <unreached>

    Examples:
      | process  | reached | unreached |
      | listed   | yes     | yes       |
      | later    | no      | no        |
      | unstated | yes     | no        |
      | unknown  | yes     | no        |
