Feature: forwarding: one request, its upstreams and its one answer

  Scenario: A request that may run once is never sent twice
    A minute log goes out and its upstream resets the connection. It may have
    run; sent again, a member would be billed twice.
    Given a forwarded "once" request
    When forwarded send 0 is lost
    Then the caller of the forwarded request gets 502
    And 1 forwarded sends were made

  Scenario: A request that did not run goes to another upstream
    An upstream is full and says that it has not run the request, so that even
    one that may run once is sent to another.
    Given a forwarded "once" request
    When forwarded send 0 is answered 503 and not run
    And forwarded send 1 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: A refusal says truthfully that nothing ran, and when to return
    All upstreams are full. The caller learns at once that the request has not
    run and when to come back.
    Given a forwarded "once" request
    When all forwarded sends are answered 503 and not run
    Then the caller of the forwarded request gets 503
    And it gets retry advice

  Scenario: A lost attempt after others that did not run is no refusal
    One upstream was full; the next took the request and fell silent. The
    answer must not promise that it has not run.
    Given a forwarded "once" request
    When forwarded send 0 is answered 503 and not run
    And forwarded send 1 is lost
    Then the caller of the forwarded request gets 502

  Scenario: An idempotent request that fails is asked again
    A lookup fails at one upstream in seven. Asked again elsewhere, the caller
    sees nothing of it.
    Given a forwarded "idempotent" request
    When forwarded send 0 is answered 500 completely
    And forwarded send 1 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: Without repeats left the upstream's own failure is passed on
    Every upstream fails. Repeats without a bound would double the load on a
    service that is in trouble.
    Given a forwarded "idempotent" request
    And no forwarded retries are left
    When forwarded send 0 is answered 500 completely
    Then the caller of the forwarded request gets a complete 500
    And 1 forwarded sends were made

  Scenario: No more upstreams than the route allows
    Given a forwarded "idempotent" request
    When forwarded send 0 is answered 500 completely
    And forwarded send 1 is answered 500 completely
    Then the caller of the forwarded request gets a complete 500
    And 2 forwarded sends were made

  Scenario: Another request's answer is never passed on
    An upstream brings a second answer of an earlier request where this one's
    is due. Passed on, a caller would read another's ticket.
    Given a forwarded "once" request
    When forwarded send 0 is answered for another request
    Then the caller of the forwarded request gets 502
    And nothing of that answer reaches it

  Scenario: A success without proof is not passed on
    Given a forwarded "once" request
    When forwarded send 0 is answered 200 without a stamp
    Then the caller of the forwarded request gets 502

  Scenario: A promise without proof is not passed on
    An upstream says 503 and not whether it ran. Passed on, it would promise
    the caller that asking again is safe.
    Given a forwarded "once" request
    When forwarded send 0 is answered 503 without a stamp
    Then the caller of the forwarded request gets 502

  Scenario: An answer that is torn does not look whole
    A plain answer ends early. Held back until it is whole, it is asked for
    again, and the caller gets one whole answer.
    Given a forwarded "idempotent" request
    When forwarded send 0 is answered 200 incompletely
    And forwarded send 1 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: An address that has another incarnation now
    An upstream's address was given to another service. It answers that it is
    not the one that was meant; nothing ran, and it is not asked again.
    Given a forwarded "once" request
    When forwarded send 0 is answered 421 and not run
    And forwarded send 1 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200
    And the upstream of forwarded send 0 is forgotten

  Scenario: A stream that may be resumed goes on without a seam
    An engine crashes in the middle of an event. The stream goes on at another
    engine after the last whole event; no piece is missing or comes twice.
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 3 and half of the next
    And forwarded send 0 breaks
    Then forwarded send 1 resumes after event 3
    When forwarded send 1 streams events 4 to 5 and ends
    Then the caller of the forwarded request has all events 1 to 5

  Scenario: A stream that may not be resumed breaks visibly
    Given a forwarded "stream" request
    When forwarded send 0 streams events 1 to 3 and half of the next
    And forwarded send 0 breaks
    Then the caller of the forwarded request sees its connection break
    And 1 forwarded sends were made

  Scenario: An engine that goes dark in a stream
    Neither bytes nor an end come any more. Only the silence shows it.
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.6 seconds of forwarding pass
    Then forwarded send 1 resumes after event 2

  Scenario: The final answer at the deadline
    An upstream never answers a request that may run once.
    Given a forwarded "once" request
    When 3.1 seconds of forwarding pass
    Then the caller of the forwarded request gets 504
    And forwarded send 0 was closed

  Scenario: A deadline that passes in the queue is a truthful refusal
    Stage work never ends; no engine ever saw the request.
    Given a forwarded "stream" request with stage work
    And its stage work never ends
    When 3.1 seconds of forwarding pass
    Then the caller of the forwarded request gets 503
    And its stage pieces are withdrawn

  Scenario: A refused stage is a refusal with the queue's own wait
    Given a forwarded "stream" request with stage work
    And its stage work is refused as "busy"
    Then the caller of the forwarded request gets 503
    And it gets retry advice of at least 0.7 seconds
    And 0 forwarded sends were made

  Scenario: Results that lapsed are made again
    A result lapsed while the request waited for an engine, which says that it
    has not run it. The stage work is done again.
    Given a forwarded "stream" request with stage work
    When forwarded send 0 finds its results gone
    Then its stage work was done 2 times
    When forwarded send 1 streams events 1 to 2 and ends
    Then the caller of the forwarded request has all events 1 to 2
    And all its stage results are released

  Scenario: A caller who leaves stops a stream
    Given a forwarded "stream" request
    When the caller of the forwarded request leaves
    Then forwarded send 0 was closed

  Scenario: Repeats are counted over a sliding window and shared
    Nine hosts share the slack of a service. Each may use its part only.
    Given a retry budget of 9 hosts with a slack of 58 in 10 seconds
    Then 3 retries may be sent at once and no more
    And after 10 seconds 3 more

  Scenario: The owner of a stage has the repeats of its service
    One host sends all pieces of a stage. With a ninth of the slack only, a
    crashed upstream would use it up with its first call.
    Given a retry budget of 9 hosts with a slack of 58 in 10 seconds
    Then 17 retries may be sent by one of 2 hosts

  Scenario: Requests of one subject meet at one engine
    A long history is read once where its requests meet, and again at each
    engine that they are spread to.
    Given 9 model engines that are idle
    Then 20 requests about one subject go to one engine
    And requests about 40 subjects go to at least 6 engines
    But when its engine is full they go to another

  Scenario: Sick engines are left out, unless most are
    An engine fails part of its requests while its health looks good; only its
    siblings show that.
    Given 9 model engines of which 1 fails 4 in 10
    Then the failing engine is left out of the choice
    But when all fail alike all are used

  Scenario Outline: What is taken away while the stages work is not used
    The stages take a second, the operator takes the <thing> away meanwhile. The
    request was sent on by the configuration of its arrival.
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

  Scenario: A key that is taken away between two attempts is not used again
    Given a forwarded "once" request
    When its key is removed
    And forwarded send 0 is answered 503 and not run
    Then the caller of the forwarded request gets 401
    And 1 forwarded sends were made

  Scenario: A request that may have run is not refused for a key taken away
    Given a forwarded "idempotent" request
    When its key is removed
    And forwarded send 0 is answered 500 completely
    And forwarded send 1 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: A route that moves while the stages work leads to its new service
    Given a forwarded "once" request with stage work
    And its stage work never ends
    When its route is moved to the service "other"
    And its stage work ends
    Then the request is sent to "10.0.1.0:1" for the team "team"

  Scenario: A key that another team gets meanwhile is sent on as that team's
    Given a forwarded "once" request with stage work
    And its stage work never ends
    When its key goes to the team "new"
    And its stage work ends
    Then the request is sent to "10.0.0.0:1" for the team "new"

  Scenario: A host that loses the store meanwhile serves what it has taken
    Its proof was young enough when the request came; refused now, the work of
    the stages would be lost for nothing.
    Given a forwarded "once" request with stage work
    And its stage work never ends
    When its key goes to the team "new"
    And its host can no longer verify its configuration
    And its stage work ends
    Then the request is sent to "10.0.0.0:1" for the team "new"
