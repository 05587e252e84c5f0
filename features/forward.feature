Feature: forwarding: one request, its attempts and its single answer

  Scenario: A request that may run only once is never sent twice
    A log of minutes is sent and its upstream resets the connection. The request
    may have run; if it were sent again, a member would be billed twice.
    Given a forwarded "once" request
    When forwarded send 0 is lost
    Then the caller of the forwarded request gets 502
    And 1 forwarded sends were made

  Scenario: A request that did not run is sent to another upstream
    An upstream is full and states that it has not run the request, so even a
    request that may run only once is sent to another upstream.
    Given a forwarded "once" request
    When forwarded send 0 is answered 503 and not run
    And forwarded send 1 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: A refusal states that nothing ran, with retry advice
    All upstreams are full. The caller is informed at once that the request has
    not run and when to retry.
    Given a forwarded "once" request
    When all forwarded sends are answered 503 and not run
    Then the caller of the forwarded request gets 503
    And it gets retry advice

  Scenario: A lost attempt after others that did not run is not a refusal
    One upstream was full; the next accepted the request and did not answer. The
    final answer must not promise that the request has not run.
    Given a forwarded "once" request
    When forwarded send 0 is answered 503 and not run
    And forwarded send 1 is lost
    Then the caller of the forwarded request gets 502

  Scenario: An idempotent request that fails is retried
    A lookup fails at one upstream in seven. It is retried at another one, and
    the failure is not visible to the caller.
    Given a forwarded "idempotent" request
    When forwarded send 0 is answered 500 completely
    And forwarded send 1 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: Without retry budget the upstream's own failure is passed on
    Every upstream fails. Unlimited retries would double the load on a failing
    service.
    Given a forwarded "idempotent" request
    And no forwarded retries are left
    When forwarded send 0 is answered 500 completely
    Then the caller of the forwarded request gets a complete 500
    And 1 forwarded sends were made

  Scenario: No more attempts than the route allows
    Given a forwarded "idempotent" request
    When forwarded send 0 is answered 500 completely
    And forwarded send 1 is answered 500 completely
    Then the caller of the forwarded request gets a complete 500
    And 2 forwarded sends were made

  Scenario: Another request's answer is never passed on
    An upstream sends a second answer to an earlier request in place of this
    one's. If it were passed on, a caller would read another caller's ticket.
    Given a forwarded "once" request
    When forwarded send 0 is answered for another request
    Then the caller of the forwarded request gets 502
    And nothing of that answer reaches it

  Scenario: A success without a stamp is not passed on
    Given a forwarded "once" request
    When forwarded send 0 is answered 200 without a stamp
    Then the caller of the forwarded request gets 502

  Scenario: A 503 without a stamp is not passed on
    An upstream answers 503 and does not state whether the request ran. If it
    were passed on, it would promise the caller that a retry is safe.
    Given a forwarded "once" request
    When forwarded send 0 is answered 503 without a stamp
    Then the caller of the forwarded request gets 502

  Scenario: An incomplete answer is not passed on as complete
    A plain answer ends early. It is buffered until it is complete, so the
    request is retried, and the caller gets one complete answer.
    Given a forwarded "idempotent" request
    When forwarded send 0 is answered 200 incompletely
    And forwarded send 1 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: An address that now has another incarnation
    An upstream's address was reassigned to another service, which answers that
    it is not the intended upstream; nothing ran, and it is not used again.
    Given a forwarded "once" request
    When forwarded send 0 is answered 421 and not run
    And forwarded send 1 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200
    And the upstream of forwarded send 0 is forgotten

  Scenario: A resumable stream continues at another engine
    An engine crashes in the middle of an event. The stream is resumed at another
    engine after the last complete event; no piece is missing or duplicated.
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 3 and half of the next
    And forwarded send 0 breaks
    Then forwarded send 1 resumes after event 3
    When forwarded send 1 streams events 4 to 5 and ends
    Then the caller of the forwarded request has all events 1 to 5

  Scenario: A stream that can't be resumed aborts the caller's connection
    Given a forwarded "stream" request
    When forwarded send 0 streams events 1 to 3 and half of the next
    And forwarded send 0 breaks
    Then the caller of the forwarded request sees its connection break
    And 1 forwarded sends were made

  Scenario: An engine that stops sending during a stream
    Neither data nor an end of the connection arrives. Only the silence limit
    detects it.
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.6 seconds of forwarding pass
    Then forwarded send 1 is made beside send 0, after event 2
    When forwarded send 1 streams events 3 to 4 and half of the next
    Then forwarded send 0 was closed

  Scenario: The final answer at the deadline
    An upstream never answers a request that may run once.
    Given a forwarded "once" request
    When 3.1 seconds of forwarding pass
    Then the caller of the forwarded request gets 504
    And forwarded send 0 was closed

  Scenario: A request whose deadline passes in the queue is refused as not run
    Stage work never ends; no engine ever saw the request.
    Given a forwarded "stream" request with stage work
    And its stage work never ends
    When 3.1 seconds of forwarding pass
    Then the caller of the forwarded request gets 503
    And its stage pieces are withdrawn

  Scenario: A refused stage is a refusal with the queue's wait as retry advice
    Given a forwarded "stream" request with stage work
    And its stage work is refused as "busy"
    Then the caller of the forwarded request gets 503
    And it gets retry advice of at least 0.7 seconds
    And 0 forwarded sends were made

  Scenario: Expired results are made again
    A result expired while the request waited for an engine, which states that
    it has not run the request. The stage work is done again.
    Given a forwarded "stream" request with stage work
    When forwarded send 0 finds its results gone
    Then its stage work was done 2 times
    When forwarded send 1 streams events 1 to 2 and ends
    Then the caller of the forwarded request has all events 1 to 2
    And all its stage results are released

  Scenario: A stream is cancelled when its caller disconnects
    Given a forwarded "stream" request
    When the caller of the forwarded request leaves
    Then forwarded send 0 was closed

  Scenario Outline: A request that may run once is not sent for a caller who has left: <when>
    Guards against bookings for callers who have withdrawn them and were told nothing.
    Given a forwarded "once" request that waits for <what>
    When its caller leaves <when>
    Then nothing more is sent for it
    And it ends as "caller left"

    Examples:
      | what                     | when                           |
      | its stage work           | at once                        |
      | a connection             | before the connection is open  |
      | an upstream that is full | before the upstream turns away |

  Scenario: A request that may run once is completed for a caller who has left
    The opposite case: a request that an upstream has got may have run.
    Given a forwarded "once" request that waits for its answer
    When its caller leaves at once
    Then forwarded send 0 is still open

  Scenario: Retries are counted over a sliding window and shared
    Nine hosts share the slack of a service. Each may use only its part.
    Given a retry budget of 9 hosts with a slack of 58 in 10 seconds
    Then 3 retries may be sent at once and no more
    And after 10 seconds 3 more

  Scenario: The owner of a stage may use the retries of its service
    One host sends all pieces of a stage. With only a ninth of the slack, a
    crashed upstream would use it up with its first call.
    Given a retry budget of 9 hosts with a slack of 58 in 10 seconds
    Then 17 retries may be sent by one of 2 hosts

  Scenario: Requests about one subject are sent to one engine
    A long history is read once by an engine that gets all of its requests, and
    again by each further engine that they are spread to.
    Given 9 model engines that are idle
    Then 20 requests about one subject go to one engine
    And requests about 40 subjects go to at least 6 engines
    But when its engine is full they go to another

  Scenario: Unhealthy engines are left out, unless most engines are unhealthy
    An engine fails part of its requests although it reports no problem; only
    the comparison with the other engines shows it.
    Given 9 model engines of which 1 fails 4 in 10
    Then the failing engine is left out of the choice
    But when all fail alike all are used

  Scenario Outline: A <thing> that is removed during stage work is not used
    The stages take a second, and the operator removes the <thing> meanwhile.
    The request was forwarded by the configuration of its arrival.
    Given a forwarded "once" request with stage work
    And its stage work never ends
    When its <thing> is removed
    And its stage work ends
    Then the caller of the forwarded request gets <status>
    And 0 forwarded sends were made
    And its 2 stage results are released

    Examples:
      | thing | status |
      | key   | 401    |
      | route | 404    |

  Scenario: A key that is removed between two attempts is not used again
    Given a forwarded "once" request
    When its key is removed
    And forwarded send 0 is answered 503 and not run
    Then the caller of the forwarded request gets 401
    And 1 forwarded sends were made

  Scenario: A request that may have run is not refused for a removed key
    Given a forwarded "idempotent" request
    When its key is removed
    And forwarded send 0 is answered 500 completely
    And forwarded send 1 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: A route that moves during stage work leads to its new service
    Given a forwarded "once" request with stage work
    And its stage work never ends
    When its route is moved to the service "other"
    And its stage work ends
    Then the request is sent to "10.0.1.0:1" for the team "team"

  Scenario: A key that moves to another team is forwarded as that team's
    Given a forwarded "once" request with stage work
    And its stage work never ends
    When its key goes to the team "new"
    And its stage work ends
    Then the request is sent to "10.0.0.2:1" for the team "new"

  Scenario: A host that loses the store serves the requests that it has admitted
    Its configuration was verified recently enough when the request arrived; a
    refusal now would only waste the stage work.
    Given a forwarded "once" request with stage work
    And its stage work never ends
    When its key goes to the team "new"
    And its host can no longer verify its configuration
    And its stage work ends
    Then the request is sent to "10.0.0.2:1" for the team "new"
