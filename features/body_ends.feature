Feature: Answers that end with their connection, at any byte

  Scenario Outline: A stream that stops inside an event is not ended as complete
    Guards against half an event that a caller takes for the end of its answer.
    Given a host whose upstream closes each connection after its answer
    When the upstream ends <route> streams with <framing> at each byte
    Then only streams that end between events are ended as complete

    Examples:
      | route     | framing    |
      | stream    | no framing |
      | stream    | chunks     |
      | stream    | a length   |
      | resumable | no framing |

  Scenario: A stream without framing and without an event is not complete
    Guards against a crash before the first event that passes as an empty answer.
    Given a host whose upstream closes each connection after its answer
    When the upstream ends a stream without framing before its first byte
    Then the caller gets no answer that is complete

  Scenario Outline: A stream that stops inside an event is resumed
    Guards against a resumable stream that is ended at the break of its upstream.
    Given a host with 2 upstreams that close each connection after their answer
    When an upstream ends a resumable stream with <framing> inside an event
    Then the stream is resumed after its last whole event, in lines of <lines>

    Examples:
      | framing    | lines |
      | no framing | LF    |
      | chunks     | CRLF  |
      | a length   | CR    |

  Scenario Outline: Events are passed on as they arrive, whatever ends their lines
    Guards against a stream that is held back because its event ends go unnoticed.
    Given a forwarded "stream" request
    When its upstream sends one event in lines of <lines> and half of another
    Then the caller has got just the whole event

    Examples:
      | lines |
      | LF    |
      | CRLF  |
      | CR    |

  Scenario: A reset stream is never complete, also between events
    Guards against a reset that is taken for the end of an answer without framing.
    Given a host whose upstream resets each connection after its answer
    When the upstream resets a stream without framing between two events
    Then the caller gets no answer that is complete

  Scenario: Other answers without framing are complete when they are closed
    The opposite case: nothing tells such an answer from one that broke off.
    Given a host whose upstream closes each connection after its answer
    When the upstream ends a lookup with no framing at each byte
    Then each lookup is ended as complete

  Scenario: Stage results without framing are taken if the document is complete
    Guards against pieces that are made twice as their results count as lost.
    Given a host whose upstream closes each connection after its answer
    When the upstream ends the results of a stage call with no framing at each byte
    Then only the complete results are taken

  Scenario: A load report without framing is read
    Guards against an upstream that counts as unreachable for its framing.
    Given a host whose upstream closes each connection after its answer
    When the upstream answers a load poll with no framing
    Then its load is read
