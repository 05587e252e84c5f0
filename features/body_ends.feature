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

  Scenario Outline: A stream that has no event is not complete
    Guards against a crash before the first event that passes as an empty answer.
    Given a host whose upstream closes each connection after its answer
    When the upstream ends a <route> answer of <body> with <framing>
    Then the caller gets no answer that is complete

    Examples:
      | route     | body        | framing    |
      | stream    | no bytes    | no framing |
      | stream    | no bytes    | chunks     |
      | stream    | no bytes    | a length   |
      | stream    | one comment | chunks     |
      | resumable | no bytes    | no framing |
      | resumable | no bytes    | chunks     |
      | resumable | no bytes    | a length   |

  Scenario: A resumed stream may have nothing more
    The opposite case: its caller has all events, and only the end was missing.
    Given a host whose upstream closes each connection after its answer
    When the upstream ends the rest of a resumed stream without an event
    Then the caller gets an empty answer that is complete

  Scenario: A stream that breaks off after its last event is complete once resumed
    The opposite case: the first upstream has sent all events.
    Given a host with 2 upstreams that close each connection after their answer
    When an upstream breaks off after all events, and another one adds none
    Then the caller gets all of these events, and they are complete

  Scenario Outline: An answer without framing and without a byte is not complete
    Guards against a crash before the body that passes as an empty answer.
    Given a host whose upstream closes each connection after its answer
    When the upstream ends a <route> answer of no bytes with no framing
    Then the caller gets no answer that is complete

    Examples:
      | route  |
      | lookup |
      | a      |

  Scenario Outline: An empty answer with framing is complete
    The opposite case: the upstream states that there is no body.
    Given a host whose upstream closes each connection after its answer
    When the upstream ends a lookup answer of no bytes with <framing>
    Then the caller gets an empty answer that is complete

    Examples:
      | framing  |
      | chunks   |
      | a length |

  Scenario Outline: An answer that has no body is passed on from a stream's route: <status>
    The opposite case of a stream that breaks off before its first event: nothing runs twice.
    Given a forwarding host whose upstream answers <status> on a stream's route
    When a caller sends "<path>" with its own team header
    Then it gets <status>, and the upstream ran 1 request

    Examples:
      | status | path        |
      | 204    | /stream/    |
      | 204    | /resumable/ |
      | 205    | /stream/    |
      | 205    | /resumable/ |

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
    When the upstream ends a lookup with no framing at each byte but the first
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
