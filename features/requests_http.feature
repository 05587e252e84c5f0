Feature: requests over real connections

  Scenario: A request's connection is closed after a timeout, not pooled
    The encoder is too slow and its call is cancelled. If the connection were
    pooled, the next call on it would get the old answer.
    Given a requests server of kind "stage"
    When a requests call is sent and its answer is read
    And a requests call to the frozen server is cancelled
    And a requests call is sent and its answer is read
    Then the requests server accepted 2 connections and 1 were closed
    And the last requests call has its own answer

  Scenario: A pooled connection goes silent before a non-idempotent request
    The first call leaves its connection in the pool, and then a device on the
    path loses its state. A booking sent on it would get no answer and end as
    "unknown", so it uses a new connection, whose handshake proves the path.
    Given a requests server whose connections stop responding after one answer
    When a requests call is sent and its answer is read
    And a non-idempotent requests call is sent and its answer is read
    Then the last requests call has its own answer
    And the requests server accepted 2 connections
    But sent as idempotent the requests call gets no answer

  Scenario: All pooled connections go silent before an idempotent request
    A device on the path loses the state of both connections. The call on the
    first one hears nothing. Its second attempt must use a new connection, and
    the next request must not be held up by the other one.
    Given a requests server whose connections stop responding after one answer
    When 2 requests calls are sent at once and their answers are read
    And a requests call is sent that gets no answer
    And a requests call that needs a new connection is sent
    Then the last requests call has its own answer
    When the idle connections of the requests server are closed
    And a requests call is sent and its answer is read
    Then the last requests call has its own answer
    And the requests server accepted 4 connections

  Scenario: A request's call falls silent on a pooled connection of its only upstream
    Each connection goes silent after one answer. The host sends the call again
    over a new one, and closes what is idle, so the next request needs one call.
    Given a requests server whose connections stop responding after one answer
    When 2 "find" requests are sent at once to the requests server
    And a "find" request is sent again to the requests server
    Then the request to the requests server ends as "answered"
    And 1 of the requests server's calls got no answer
    When a "find" request is sent again to the requests server
    Then the request to the requests server ends as "answered"
    And 1 of the requests server's calls got no answer
    And the requests server accepted 4 connections

  Scenario Outline: A reply to a request over HTTP is malformed or incomplete
    The call may have run, whatever arrives instead of a reply: it must end as
    "Lost", and the connection must be closed.
    Given a requests server that answers <status> with <body>
    When a requests call is sent and its answer is read
    Then the last requests call ends as "<end>" for "<reason>"

    Examples:
      | status | body               | end  | reason          |
      | 200    | not JSON           | Lost | malformed reply |
      | 200    | another document   | Lost | malformed reply |
      | 200    | 5000000 bytes      | Lost | reply too large |
      | 200    | a body cut short   | Lost | connection lost |
      | 500    | a problem          | Lost | status 500      |

  Scenario Outline: A request is refused over HTTP
    Only a refusal that states "not-run" and the attempt's id proves that
    nothing ran. A 503 of a load balancer proves nothing.
    Given a requests server that refuses with <status>, outcome "<outcome>", attempt "<attempt>"
    When a "<pipeline>" request is sent to the requests server
    Then the request to the requests server ends as "<tag>"

    Examples:
      | status | outcome | attempt | pipeline | tag     |
      | 503    | not-run | own     | book     | not-run |
      | 429    | not-run | own     | book     | not-run |
      | 503    | none    | own     | book     | unknown |
      | 429    | none    | own     | book     | unknown |
      | 503    | not-run | another | book     | unknown |
      | 503    | not-run | none    | book     | unknown |
      | 503    | not-run | own     | slow     | not-run |
      | 503    | none    | own     | slow     | failed  |
      | 400    | not-run | own     | book     | not-run |
      | 400    | not-run | another | book     | unknown |

  Scenario: A request's stream repeats its tokens over HTTP
    The engine sends each token twice. The assembled stream is correct, but the
    full text at the end of the stream would contain each token twice.
    Given a requests server that streams each token twice
    When a "draft" request is sent to the requests server
    Then the request to the requests server ends as "answered"
    And the requests server's output equals the streamed text
