Feature: requests over real connections

  Scenario: A request's connection is closed after a timeout, not pooled
    The encoder is too slow and its call is cut. Kept in the pool, the
    connection would bring the old answer to whoever uses it next.
    Given a requests server of kind "stage"
    When a requests call is sent and its answer is read
    And a requests call to the frozen server is cut
    And a requests call is sent and its answer is read
    Then the requests server saw 2 connections and 1 of them cut
    And the last requests call has its own answer

  Scenario: A pooled connection goes silent before a non-idempotent request
    The first call leaves its connection in the pool; then something on the
    way forgets it. A booking sent on it would vanish and end as "unknown", so
    it gets a connection of its own, whose handshake proves the path.
    Given a requests server whose connections fall silent after one answer
    When a requests call is sent and its answer is read
    And a non-idempotent requests call is sent and its answer is read
    Then the last requests call has its own answer
    And the requests server took 2 connections
    But sent as idempotent that requests call has no answer

  Scenario Outline: A reply to a request over HTTP is not what was agreed
    Whatever comes instead of a reply, the call may have run: its end is
    "Lost", and the connection is closed.
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
    Only a refusal that says "not run" and names the attempt proves that
    nothing ran. A balancer's own 503 proves nothing.
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
    An engine sends each token twice. The streamed words are right, but the
    whole text that comes with the end would have each word twice.
    Given a requests server that streams each token twice
    When a "draft" request is sent to the requests server
    Then the request to the requests server ends as "answered"
    And the requests server's text is what was streamed
