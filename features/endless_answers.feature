Feature: upstreams whose bytes are no answer and have no end

  Scenario: A head without an end is refused at once
    Guards against a head that is read until the deadline of its request.
    Given a host whose upstream keeps each connection open
    When the upstream answers a request that may run once with endless heads
    Then the caller of each gets 502 "endless head"

  Scenario: Another upstream is asked when a body is no answer and has no end
    Guards against megabytes that are read, or passed on, until the deadline.
    When the first upstreams of some requests send megabytes of
      | route      | bytes                             |
      | resumable  | one event                         |
      | resumable  | one event after others            |
      | resumable  | the same events                   |
      | resumable  | events without an id              |
      | resumable  | events without an id after others |
      | resumable  | comments                          |
      | resumable  | comments after events             |
      | resumable  | a failure                         |
      | idempotent | a failure                         |
      | idempotent | a whole answer                    |
    Then each of them is answered whole by another upstream

  Scenario Outline: A stream that can't be resumed is passed on whatever its identifiers: <idents>
    Guards against events that are held back for an identifier that nothing needs.
    Given a forwarded "stream" request
    When forwarded send 0 streams events with the identifiers "<idents>"
    Then the caller of the forwarded request has each event at once

    Examples:
      | idents      |
      | a,,,        |
      | 0,,,        |
      | 7,7,7,7     |
      | 9,8,7,6     |
      | empty,empty |

  Scenario: A large failure of a stated length is passed on
    The opposite case: its end is known.
    Given a forwarded "idempotent" request
    When forwarded send 0 fails with 404 and 300 kB of a stated length
    Then the caller of the forwarded request has that failure
    And 1 forwarded sends were made

  Scenario: An upstream that drips bytes of no answer counts as a silent one
    Guards against bytes that keep an upstream from being silent.
    When the first upstreams of some requests drip for 2 seconds
      | route      | bytes                             |
      | resumable  | one event                         |
      | resumable  | one event after others            |
      | resumable  | the same events                   |
      | resumable  | events without an id              |
      | resumable  | events without an id after others |
      | resumable  | comments                          |
      | resumable  | comments after events             |
      | resumable  | a failure                         |
      | idempotent | a failure                         |
      | idempotent | a whole answer                    |
    Then another upstream is asked beside each of them
    And each of them is answered whole by another upstream

  Scenario: A long head after interim heads is the head of an answer
    The opposite case: as many lines as callers may send, and some heads before.
    Given a host whose upstream keeps each connection open
    When the upstream answers with 20 interim heads and 16000 bytes of lines
    Then the caller gets a complete 200

  Scenario: An event in many parts is not copied with each of them
    Guards against work that grows with the square of an event's size.
    When a stream is split that brings 2 MB of an event in parts of 1 kB
    Then each part of it takes less than 10 kB of new memory on average
    And the event is returned as it was sent

  Scenario: Long events are answers
    The opposite case: events of 200 kB, in parts, and comments between them.
    Given a forwarded "resumable" request
    When its upstream sends 5 events of 200 kB in parts of 1 kB, and comments
    Then the caller has got all of it as it was sent
    And 1 forwarded sends were made

  Scenario: Comments keep a begun answer alive, but begin none
    Guards against an answer that is begun, and cut off, without an event of it.
    Given a forwarded "resumable" request
    When its upstream sends a comment
    Then the caller's answer has not begun
    When its upstream sends an event and a comment
    Then the caller has got all of it as it was sent

  Scenario: A large answer without a length is passed on once it is complete
    The opposite case: 3 MB in parts of 32 kB.
    Given a forwarded "idempotent" request
    When its upstream sends 94 parts of an answer without a length
    Then the caller's answer has not begun
    When its upstream ends the answer
    Then the caller has got all of it as it was sent
    And no bytes of answers are held back

  Scenario: A host holds back no more than its share of all answers together
    Guards against a host that many large answers without a length fill.
    Given a forwarded "idempotent" request
    And 33 MB of other answers are held back
    When its upstream sends 3 parts of an answer without a length
    Then the caller has got all of it as it was sent

  Scenario Outline: A large answer that can't be had elsewhere is passed on whole: <case>
    Guards against work of sound upstreams that is thrown away, and callers that are cut off.
    Given a forwarded "<kind>" request
    And <held> MB of other answers are held back
    When its upstream sends 200 parts of an answer without a length
    Then forwarded send 0 is open
    When its upstream ends the answer
    Then the caller has got all of it as it was sent

    Examples:
      | case           | kind       | held |
      | may run once   | once       | 0    |
      | it has begun   | idempotent | 33   |

  Scenario: A slow answer without a length is awaited, not handed back
    The opposite case: nothing is sent beside it, and other upstreams are heard.
    Given a forwarded "idempotent" request
    And no forwarded retries are left
    When its upstream sends 18 parts of an answer without a length, 0.1 s apart
    And another upstream is heard
    And its upstream sends 8 parts of an answer without a length, 0.1 s apart
    Then forwarded send 0 is open
    When its upstream ends the answer
    Then the caller has got all of it as it was sent

  Scenario: A slow event is awaited beside another upstream
    The opposite case: the upstream takes longer for it than the limit.
    Given a forwarded "resumable" request
    When its upstream sends an event in parts for 2 seconds
    Then forwarded send 1 is made beside send 0
    When its upstream ends the event and the stream
    Then the caller has got all of it as it was sent
    And forwarded send 1 was closed

  Scenario: What a caller did not read counts as no silence
    Guards against an upstream that is silent as nobody has read what it sent.
    Given a forwarded "resumable" request
    When its upstream sends an event and a comment
    And the caller of the forwarded request stops reading
    And 1.4 seconds of forwarding pass
    And the caller of the forwarded request reads again
    And 0.5 seconds of forwarding pass
    Then 1 forwarded sends were made

  Scenario Outline: New requests pass by an upstream whose bytes <do>
    Guards against an upstream that gets requests it does not answer.
    Given a request whose first upstream sends bytes that <do>
    Then new requests don't go to the upstream of forwarded send 0
    And event 1256 names that upstream
    When 5.1 seconds of forwarding pass
    Then new requests may go to the upstream of forwarded send 0

    Examples:
      | do                 |
      | have no end        |
      | drip without end   |

  Scenario: A good answer of an upstream ends that requests pass by it
    Given a request whose first upstream sends bytes that have no end
    When that upstream answers another request
    Then new requests may go to the upstream of forwarded send 0

  Scenario: Upstreams whose bytes are no answer are used while there are no others
    Given a request whose first upstream sends bytes that have no end
    When the bytes of all other upstreams are no answers
    Then new requests may go to the upstream of forwarded send 0
