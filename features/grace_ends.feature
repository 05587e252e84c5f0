Feature: the end of a stopping host's grace

  A whole host with real connections of callers, in virtual time; upstreams and
  stage work are scripted.

  Scenario: What a stopping host closes itself is not logged as left by callers
    Guards against log lines, counts and timelines that name the wrong side.
    Given a stopping host with a "stream" route
    And a caller "b1" whose answer has begun
    When the host is stopped, its grace ends and its process exits
    Then "b1" is logged as cut off by the host, begun, after 1 send
    And the timeline of "b1" says that the host closed the connection
    And the losses count 1 request as "failed: cut off"

  Scenario: A caller that leaves a stopping host is logged as left
    The opposite case: a caller that closes its connection in the grace.
    Given a stopping host with a "resumable" route
    And a caller "b1" whose answer has begun
    When the host is stopped and the caller "b1" leaves
    Then "b1" is logged as left by its caller
    And the losses count 1 request as "failed: caller left"

  Scenario: A request at a silent upstream is told at the end of the grace
    Guards against a stopping host that closes connections without an answer.
    When hosts of each grace stop while their upstreams are silent for good
    Then each request is told in the last sixth of the grace that it may have run

  Scenario: A request that came back as not run is refused in time
    Guards against a host that waits to its end for stage work it can't use any more.
    When hosts of each grace stop while requests that came back wait for stage work
    Then each request is refused as not run, with time left for another host

  Scenario: A begun answer ends by a reset where a close would look like its end
    Guards against an incomplete answer whose caller takes it for the whole.
    When hosts of each grace stop in the middle of answers to HTTP/1.0 callers
    Then each connection is reset in the last sixth of the grace

  Scenario: An answer whose upstream goes on in the last second is kept
    Guards against a stopping host that gives up an upstream for its silence.
    When hosts of each grace stop, and silent upstreams answer just before the end
    Then each request is answered completely

  Scenario: A begun answer goes on while the others are told
    Guards against begun answers that end with those that have not begun.
    When hosts of each grace stop, and begun answers end just before they do
    Then each request is answered completely

  Scenario Outline: A request that its stopping host can't serve: <request>
    Guards against a refusal too late for another host, or that names the wrong state.
    Given a stopping host with stage work for "idempotent" requests
    When a request <request>, and the host stops
    Then the request is told <status> <moment>

    Examples:
      | request                                         | status | moment                 |
      | waits for stage work                            | 503    | while another has time |
      | was lost and waits for stage work again         | 502    | while another has time |
      | comes with less time left than its stages take  | 503    | at once                |
      | comes back with less time left than stages take | 503    | at once                |

  Scenario: A request is not kept waiting for a rest that ends too late
    Guards against a wait for permission that leaves no time for an answer.
    Given a stopping host with a grace of 1 second
    When a request comes while all upstreams rest for 0.7 seconds
    Then the request is told 503 at once

  Scenario: Nothing is sent beside a silent attempt that a stopping host can't await
    Guards against stage work and a retry for an answer that comes after the end.
    Given a stopping host with stage work for "resumable" requests
    When a request is at a silent upstream, and its stages take 9 seconds again
    Then its stage work is not made again, and it is told 502 at the end

  Scenario: Changed settings don't move the end of a host that stops
    Guards against a longer grace that the process doesn't have.
    Given a stopping host with a "stream" route
    And a caller "b1" whose answer has begun
    When the host is stopped and its grace is set to 60 seconds meanwhile
    Then the host has stopped within 8 seconds

  Scenario Outline: A stopping host waits for a caller that reads slowly: <version>
    Guards against bytes of a whole answer that are lost in the connection's buffer.
    Given a stopping host with a "idempotent" route
    And an HTTP/<version> caller "s1" that has not read its whole answer
    When the host is stopped and 6 seconds pass
    Then the host has not stopped, and the connection of "s1" is open
    When the caller "s1" reads on
    Then the connection of "s1" is closed, and the host stops within 1 second

    Examples:
      | version |
      | 1.0     |
      | 1.1     |

  Scenario: A caller that never reads its answer doesn't hold a stopping host
    The opposite case, whose connection is not closed like one that was read.
    Given a stopping host with a "idempotent" route
    And an HTTP/1.0 caller "s1" that has not read its whole answer
    When the host is stopped, its grace ends and its process exits
    Then the connection of "s1" is reset, and logged as not read

  Scenario: A request that waits behind a begun answer is answered
    Guards against a connection whose close its caller was not told of in time.
    Given a stopping host with a "stream" route
    And a caller "p1" whose answer has begun, with the request "p2" behind it
    When the host is stopped, and the answer to "p1" ends after 3 seconds
    Then "p1" is answered completely and "p2" is refused as not run
    And the connection of "p1" is closed after the answers

  Scenario: An answer that begins after the signal announces the close
    Guards against callers that reuse a connection which a stopping host closes.
    Given a stopping host with a "stream" route
    And a caller "b1" at a silent upstream
    When the host is stopped, and the answer to "b1" begins and ends
    Then the answer to "b1" announces that its connection is closed

  Scenario: A request that is still being received at the end is refused
    Guards against a close that leaves the caller of a large body without a word.
    Given a stopping host with a "once" route
    And a caller that has sent a part of its body
    When the host is stopped, its grace ends and its process exits
    Then that caller is told 503, and its connection is closed

  Scenario: A request that was rejected before the end is not answered twice
    Guards against a second head on a connection whose caller doesn't read.
    Given a stopping host with a "once" route
    And a caller that doesn't read and announces a body that is too large
    When the host is stopped, its grace ends and its process exits
    Then that caller is told 413 and nothing else

  Scenario: A failure with one request keeps no other from its end
    Guards against requests without a status behind one whose end can't be told.
    Given a stopping host with a "once" route
    And callers "f1", "f2" and "f3" at silent upstreams
    And the host's count of runs of "f1" fails
    When the host is stopped, its grace ends and its process exits
    Then "f1", "f2" and "f3" are told 502

  Scenario: A host that wakes after its grace reads before it tells
    Guards against a host that refuses requests whose answers lie unread.
    Given a stopping host with a "idempotent" route
    And a caller "b1" at a silent upstream
    When the host is stopped, and stands still from 2 seconds to 9 seconds
    And the answer to "b1" has arrived meanwhile
    Then the answer to "b1" is whole
