Feature: stages whose upstreams fall silent and go on

  Scenario: A request's stream falls silent when the retry budget is spent
    The engine stands still for a while. If the stream were ended at the limit
    on silence, there would be nothing to replace it, and the caller would get a
    part of an answer whose engine goes on a moment later.
    Given a requests host
    When the retry budget of requests is spent
    And a "draft" request is sent
    And 0.04 request seconds pass
    And the called upstream stands still
    And 0.8 request seconds pass
    And the upstreams go on
    And 0.5 request seconds pass
    Then the request ends as "answered"
    And the request's stream is complete
    And the requests made 1 calls
    But without the guard "listening to silent attempts" this requests scenario fails

  Scenario: A request's stream falls silent when too little time for another attempt is left
    Twenty milliseconds remain at the limit on silence, and a draft takes a
    hundred. The engine goes on in time to bring the last tokens.
    Given a requests host
    When a "draft" request with a deadline of 0.36 seconds is sent
    And 0.04 request seconds pass
    And the called upstream stands still
    And 0.31 request seconds pass
    And the upstreams go on
    And 0.1 request seconds pass
    Then the request ends as "answered"
    And the request's stream is complete
    And the requests made 1 calls
    But without the guard "listening to silent attempts" this requests scenario fails

  Scenario: A request's call falls silent and every other upstream refuses it
    The second encoder refuses. The first one has the call and answers later.
    Given a requests host
    When a "find" request is sent
    And the called upstream stands still
    And the other upstreams refuse requests
    And 0.5 request seconds pass
    And the upstreams go on
    Then the request ends as "answered"
    And no requests invariant is broken
    But without the guard "listening to silent attempts" this requests scenario fails

  Scenario: A silence of a request's upstream counts once for its limit
    The upstream reached its limit on silence, which counts. If all the time for
    which it stood still counted as well when it answers, one silence of all
    upstreams would close the pool for the requests that come after it.
    Given a requests host
    When a "find" request is sent
    And the called upstream stands still
    And the other upstreams refuse requests
    And 0.9 request seconds pass
    And the upstreams go on
    Then the request ends as "answered"
    And the requests host counts the first upstream as at most 2 times slower
    But without the guard "one sample of a silence" this requests scenario fails

  Scenario: The last attempt of a request's stream falls silent
    The stream breaks off and is resumed elsewhere, where it falls silent. No
    attempt is left, so to end this one helps nobody.
    Given a requests host
    When a "draft" request is sent
    And the called upstream breaks streams after 3 tokens
    And 0.08 request seconds pass
    And the called upstream stands still
    And 0.8 request seconds pass
    And the upstreams go on
    And 0.5 request seconds pass
    Then the request ends as "answered"
    And the request's stream is complete
    And the requests made 2 calls
    But without the guard "listening to silent attempts" this requests scenario fails

  Scenario: A request's silent stream goes on before its second attempt begins
    Both attempts stand still, and the first one goes on first. Its tokens must
    be passed on, and the second attempt, which would bring them again, must end.
    Given a requests host
    When a "draft" request is sent
    And 0.04 request seconds pass
    And all upstreams of the pipeline stand still
    And 0.5 request seconds pass
    And the called upstream goes on last
    And 0.5 request seconds pass
    Then the request ends as "answered"
    And the request's stream is complete
    And the requests made 2 calls
    And the request's attempt 2 was cancelled
    And no requests invariant is broken
    But without the guard "listening to silent attempts" this requests scenario fails

  Scenario: A request's silent stream goes on after its second attempt has begun
    The second attempt brings the next token first. The first one is ended, and
    what it still brings must not reach the caller again.
    Given a requests host
    When a "draft" request is sent
    And 0.04 request seconds pass
    And the called upstream stands still
    And 0.33 request seconds pass
    And the upstreams go on
    And 0.5 request seconds pass
    Then the request ends as "answered"
    And the request's stream is complete
    And the request's call 2 resumes at token 2
    And the request's attempt 1 was cancelled
    And no upstream is processing requests
    And the requests host has no open requests
    But without the guard "cancelled losers" this requests scenario fails

  Scenario: A request's stream is silent for good
    Another engine must go on with it at the limit on silence.
    Given a requests host
    When a "draft" request is sent
    And 0.04 request seconds pass
    And the called upstream stands still
    And 0.45 request seconds pass
    Then the request ends as "answered"
    And the request's stream is complete
    And the requests made 2 calls

  Scenario: A request's call is silent for good and the retry budget fills again
    At the limit on silence the budget was spent. A moment later it isn't.
    Given a requests host
    When the retry budget of requests is spent
    And a "find" request is sent
    And the called upstream stands still
    And 0.2 request seconds pass
    Then the requests made 1 calls
    When the retry budget of requests is filled
    And 0.5 request seconds pass
    Then the request ends as "answered"
    And the requests made 2 calls

  Scenario: A request's call is silent for good and its upstream is the only one
    A device on the path drops the connection's packets while new connections
    work. The call must be sent again over a new connection.
    Given a requests host with 1 upstreams in each pool
    When the link to "encoder-1" goes silent for requests
    And a "find" request is sent
    And the links recover for requests
    And 0.2 request seconds pass
    Then the request ends as "answered"
    And the requests made 2 calls
    And the request's call 2 needs a new connection

  Scenario: A non-idempotent request's upstream falls silent and goes on
    The booking must run once, and its caller must learn that it ran.
    Given a requests host
    When a "book" request is sent
    And the called upstream stands still
    And 0.9 request seconds pass
    And the upstreams go on
    Then the request ends as "answered"
    And upstreams ran "book" 1 times for the requests
    And the requests made 1 calls

  Scenario: All upstreams of requests fall silent at once
    A second attempt at an upstream that is silent itself is no exchange: it
    would only double the work that waits there when the upstreams go on.
    Given a requests host with 6 upstreams in each pool
    When 30 "draft" requests are sent
    And 0.04 request seconds pass
    And all upstreams of the pipeline stand still
    And 0.8 request seconds pass
    And the upstreams go on
    And 0.7 request seconds pass
    Then each request ends as "answered"
    And the requests made at most 36 calls
    And the requests host has no open requests
    But without the guard "silent upstreams" this requests scenario fails

  Scenario: The host itself stands still while a request's stream runs
    The process is paused. When it wakes, all its timers are due before it has
    read what arrived meanwhile: the engine was never silent.
    Given a requests host
    When a "draft" request is sent
    And 0.04 request seconds pass
    And the host of requests is paused for 0.8 seconds
    And 0.5 request seconds pass
    Then the request ends as "answered"
    And the request's stream is complete
    And the requests made 1 calls
    But without the guard "reading after a pause" this requests scenario fails

  Scenario: The host itself stands still while a non-idempotent request's call runs
    The answer arrived before the deadline and waits to be read. If the deadline
    were judged first, the outcome would be "unknown".
    Given a requests host
    When a "book" request is sent
    And 0.01 request seconds pass
    And the host of requests is paused for 1.2 seconds
    Then the request ends as "answered"
    But without the guard "reading after a pause" this requests scenario fails
