Feature: an upstream that falls silent while an answer is awaited

  Scenario: A stream is not cut off when nothing can be sent beside it
    The upstream stands still and goes on; the budget for retries is spent.
    Given a forwarded "resumable" request
    And no forwarded retries are left
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.6 seconds of forwarding pass
    And forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5
    And 1 forwarded sends were made

  Scenario: A stream goes on at its upstream if that is heard first
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.6 seconds of forwarding pass
    Then forwarded send 1 is made beside send 0, after event 2
    When forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5
    And forwarded send 1 was closed

  Scenario: A stream goes on at the other upstream if that is heard first
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.6 seconds of forwarding pass
    Then forwarded send 1 is made beside send 0, after event 2
    When forwarded send 1 streams events 3 to 4 and half of the next
    Then forwarded send 0 was closed
    When forwarded send 1 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5

  Scenario: A part of an event at the other upstream replaces nothing
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.6 seconds of forwarding pass
    And forwarded send 1 streams half of event 3
    Then forwarded send 0 is open
    When forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5
    And forwarded send 1 was closed

  Scenario: A stream that goes on keeps its answer when the send beside it fails
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.6 seconds of forwarding pass
    And forwarded send 1 is lost
    And forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5
    And 2 forwarded sends were made

  Scenario: A silent stream that breaks goes on at the send beside it
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.6 seconds of forwarding pass
    And forwarded send 0 breaks
    And forwarded send 1 streams events 3 to 5 and ends
    Then the caller of the forwarded request has all events 1 to 5
    And 2 forwarded sends were made

  Scenario: A stream is not cut off when its stage work is refused a second time
    Its results were released once the upstream had read them.
    Given a forwarded "resumable" request with stage work
    When its stage work is done and refused as "busy" from now on
    And forwarded send 0 streams events 1 to 2 and half of the next
    And 2.5 seconds of forwarding pass
    And forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5
    And 1 forwarded sends were made

  Scenario: No more upstreams get a silent request than its route allows
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 2.9 seconds of forwarding pass
    Then 2 forwarded sends were made
    And forwarded send 0 is open

  Scenario: A whole answer comes from the upstream that is first to have it
    Given a forwarded "idempotent" request
    When 1.2 seconds of forwarding pass
    Then forwarded send 1 is made beside send 0
    When forwarded send 0 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200
    And forwarded send 1 was closed

  Scenario: A failure of the send beside it ends no silent attempt
    Given a forwarded "idempotent" request
    When 1.2 seconds of forwarding pass
    And forwarded send 1 is answered 500 completely
    And forwarded send 0 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200
    And 2 forwarded sends were made

  Scenario: A request that may run only once is sent once, however silent it is
    Given a forwarded "once" request
    When 2.9 seconds of forwarding pass
    And forwarded send 0 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200
    And 1 forwarded sends were made

  Scenario: At the deadline all sends of a silent request are closed
    Given a forwarded "idempotent" request
    When 3.1 seconds of forwarding pass
    Then the caller of the forwarded request gets 504
    And forwarded send 0 was closed
    And forwarded send 1 was closed

  Scenario: A host that was late itself reads before it calls an upstream silent
    Its timers are due at once when it goes on, before it has read anything.
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And the host of the forwarded request stands still for 2.5 seconds
    And forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5
    And 1 forwarded sends were made

  Scenario: A caller that does not read makes no upstream silent
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And the caller of the forwarded request stops reading
    And 2.5 seconds of forwarding pass
    And the caller of the forwarded request reads again
    And forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5
    And 1 forwarded sends were made

  Scenario: Nothing is sent beside a silent stream while all upstreams are silent
    Given a forwarded "resumable" request
    And the host awaits answers of the other upstreams
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.9 seconds of forwarding pass
    And forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5
    And 1 forwarded sends were made

  Scenario: The last events of upstreams that fell silent together are no evidence
    Given a forwarded "resumable" request
    And the host awaits answers of the other upstreams
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 0.2 seconds of forwarding pass
    And another upstream is heard
    And 2.0 seconds of forwarding pass
    And forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5
    And 1 forwarded sends were made

  Scenario: New requests pass by an upstream that is silent while others answer
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.4 seconds of forwarding pass
    And another upstream is heard
    And 0.2 seconds of forwarding pass
    Then new requests don't go to the upstream of forwarded send 0
    When forwarded send 0 goes on to event 5 and ends
    Then new requests may go to the upstream of forwarded send 0

  Scenario: A broken stream waits for stage work whose first due time has passed
    Its caller has half of an answer and seconds left.
    Given a forwarded "resumable" request with stage work
    When its stage work is done
    And forwarded send 0 streams events 1 to 2 and half of the next
    And 1.4 seconds of forwarding pass
    And forwarded send 0 breaks
    Then its stage work is due again before its deadline

  Scenario: The send beside a silent one goes to an upstream that was heard since
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.4 seconds of forwarding pass
    And another upstream is heard
    And 0.3 seconds of forwarding pass
    Then forwarded send 1 is made beside send 0, after event 2
    And forwarded send 1 is at the upstream that was heard

  Scenario: A request without a beginning is handed back while others are served
    Nothing may be sent beside it, and its caller has time for another try.
    Given a forwarded "idempotent" request
    And no forwarded retries are left
    When 1.8 seconds of forwarding pass
    And another upstream is heard
    And 0.4 seconds of forwarding pass
    Then the caller of the forwarded request gets 502
    And forwarded send 0 was closed

  Scenario: A request is not handed back as its upstream goes on with the others
    Guards against callers that are sent away when all silent upstreams return.
    Given a forwarded "idempotent" request
    And no forwarded retries are left
    When 2.3 seconds of forwarding pass
    And another upstream is heard
    And 0.2 seconds of forwarding pass
    And forwarded send 0 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: A request is not handed back as its upstream has gone on with others
    Guards against an answer that is lost while its upstream works on it again.
    Given a forwarded "idempotent" request
    And no forwarded retries are left
    When 1.8 seconds of forwarding pass
    And the upstream of forwarded send 0 is heard for 0.1 seconds
    And another upstream is heard for 0.7 seconds
    And forwarded send 0 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: A request is handed back half of its time after its upstream was heard
    Guards against callers that are held by an upstream which goes on and hangs.
    Given a forwarded "idempotent" request
    And no forwarded retries are left
    When the upstream of forwarded send 0 is heard for 0.9 seconds
    And another upstream is heard for 1.9 seconds
    Then the caller of the forwarded request gets 502
    And forwarded send 0 was closed

  Scenario: A request is not handed back when all upstreams stand still again
    Guards against callers that are sent away though nobody else is served either.
    Given a forwarded "idempotent" request
    And no forwarded retries are left
    When 0.6 seconds of forwarding pass
    And the upstream of forwarded send 0 is heard for 0.1 seconds
    And another upstream is heard for 0.1 seconds
    And 1.9 seconds of forwarding pass
    And forwarded send 0 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: A request is not handed back while nothing else is heard
    Given a forwarded "idempotent" request
    And no forwarded retries are left
    When 2.8 seconds of forwarding pass
    And forwarded send 0 is answered 200 completely
    Then the caller of the forwarded request gets a complete 200

  Scenario: A stream that has begun is not handed back
    Given a forwarded "resumable" request
    And no forwarded retries are left
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.8 seconds of forwarding pass
    And another upstream is heard
    And 1.0 seconds of forwarding pass
    And forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5

  Scenario Outline: A failure <status> of the send beside it ends no begun answer
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.6 seconds of forwarding pass
    And forwarded send 1 is answered <status> completely
    And forwarded send 0 goes on to event 5 and ends
    Then the caller of the forwarded request has all events 1 to 5

    Examples:
      | status |
      | 302    |
      | 400    |
      | 404    |
      | 500    |

  Scenario: A request that is handed back is not sent again by its host
    Given a forwarded "idempotent" request
    When 1.2 seconds of forwarding pass
    And forwarded send 1 is answered 503 and not run
    And forwarded send 2 is answered 503 and not run
    And 0.9 seconds of forwarding pass
    And another upstream is heard
    And 0.4 seconds of forwarding pass
    Then 3 forwarded sends were made

  Scenario: Silent upstreams are used while no other has been heard either
    Given a forwarded "resumable" request
    When forwarded send 0 streams events 1 to 2 and half of the next
    And 1.6 seconds of forwarding pass
    Then new requests may go to the upstream of forwarded send 0

  Scenario: Results are held for an engine that stands still before it reads them
    Its other answers stop at the same time.
    Given a forwarded "resumable" request with stage work
    And the host awaits answers of all upstreams
    When its stage work is done
    And 0.4 seconds of forwarding pass
    Then its forwarded stage results are held
    When the upstream of forwarded send 0 is heard for 0.2 seconds
    Then its forwarded stage results are released

  Scenario: Results of a silent engine are released for want of memory
    Guards against memory that is held for engines of which nothing is heard.
    Given a forwarded "resumable" request with stage work
    And the host awaits answers of all upstreams
    And the memory for stage results is short
    When its stage work is done
    And 0.8 seconds of forwarding pass
    Then its forwarded stage results are released

  Scenario: Results that were renewed in vain are released
    Guards against room that is held for a send which isn't needed any more.
    Given a forwarded "resumable" request with stage work
    When its stage work is done, and renewed for a send beside a silent one
    And forwarded send 0 streams events 1 to 2 and half of the next
    Then all its forwarded stage results are released

  Scenario: Results are held for a silent engine that has not read them when another has
    Given a forwarded "resumable" request with stage work
    And the host awaits answers of all upstreams
    When its stage work is done
    And 1.4 seconds of forwarding pass
    And another upstream is heard
    And 0.3 seconds of forwarding pass
    Then forwarded send 1 is made beside send 0
    When the upstream of forwarded send 1 is heard for 0.2 seconds
    Then its forwarded stage results are held
    When forwarded send 1 is lost
    And the upstream of forwarded send 0 is heard for 0.2 seconds
    Then its forwarded stage results are released
  Scenario: A large answer of the send beside a silent one may still break
    Guards against a silent attempt that is closed for an answer which then breaks.
    Given a forwarded "idempotent" request
    When 1.2 seconds of forwarding pass
    Then forwarded send 1 is made beside send 0
    When forwarded send 1 brings 100 of 200 kB and breaks
    And forwarded send 0 brings 200 of 200 kB and ends
    Then the caller of the forwarded request has all 200 kB

  Scenario: A large answer of a stated length begins early if nothing is beside it
    The opposite case: it is not held back until it is complete.
    Given a forwarded "idempotent" request
    When forwarded send 0 brings 100 of 200 kB
    Then the caller of the forwarded request has 100 kB
