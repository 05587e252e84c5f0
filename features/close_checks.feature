Feature: Whether a process lives on that has closed a connection

  Scenario Outline: A close of an upstream whose witness <event>
    Guards against a close that is taken for the end of an answer, and against sound answers that are lost.
    Given an answer that ends with its connection
    When its witness <event>
    And its connection is closed
    Then its upstream counts as <state>

    Examples:
      | event                                  | state |
      | answers                                | alive |
      | answers, and nobody listens            | alive |
      | is open and does not answer            | alive |
      | is open and unheard                    | ended |
      | is reset as it is asked                | ended |
      | leads to another process               | ended |
      | ends with the answer                   | ended |
      | is closed as it is idle                | alive |
      | is closed as nobody listens            | ended |
      | is turned away                         | alive |
      | is turned away, and nobody listens     | ended |
      | answers, and the caller reads late     | alive |
      | is closed while the caller reads late  | ended |

  Scenario: Answers that end at the same moment share a round trip
    Guards against a burst of connections to an upstream that ends many answers.
    Given an answer that ends with its connection
    When 100 answers of one upstream end at the same moment
    Then 100 answers are confirmed by 4 connections or fewer
    And no witness is left once 100 answers are over

  Scenario: An answer that begins while another one is confirmed has a witness too
    Guards against an answer that a successor confirms, as the witness was in use.
    Given an answer that ends with its connection
    When its connection is closed, and another answer begins before it is confirmed
    And that one is closed as nobody listens any more
    Then both answers count as ended by their upstream

  Scenario Outline: A report tells whether the process lives on: <process>
    Guards against a process that has just started, which a new connection reaches.
    Given an upstream without a witness, whose report shows <process>
    Then a close is the end of its answer: <answered>, <unanswered>

    Examples:
      | process  | answered | unanswered |
      | listed   | yes     | yes       |
      | later    | no      | no        |
      | unstated | yes     | no        |
      | unknown  | yes     | no        |

  Scenario Outline: The process is asked that has got the request: <ident> of <first> and <second>
    Guards against a process that is asked for the one whose address it has now.
    Given <first> and then <second> at one address
    Then a host that has sent to "<ident>" asks for "<expected>"

    Examples:
      | first | second | ident          | expected |
      | a     | nobody | a              | a        |
      | a     | b      | a              | a        |
      | a     | b      | b              | b        |
      | a     | nobody | an unknown one | a        |
      | a     | b      | an unknown one | any      |
