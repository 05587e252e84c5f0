Feature: The length that an upstream states reaches the caller

  Scenario Outline: The length of a whole answer is passed on: <status>, <size> bytes
    Guards against a part of an answer that a caller takes for all of it.
    When an upstream answers <status> with <size> bytes and a length
    Then callers of "idempotent,once" requests get <size> bytes and that length

    Examples:
      | status | size   |
      | 200    | 0      |
      | 200    | 40     |
      | 200    | 200000 |
      | 500    | 0      |
      | 500    | 40     |

  Scenario: The length of a stream's failure is passed on
    When an upstream answers 500 with 40 bytes and a length
    Then callers of "stream,resumable" requests get 40 bytes and that length

  Scenario Outline: An answer whose length isn't known in advance comes in chunks: <framing>
    When an upstream answers 200 with 40 bytes and <framing>
    Then callers of "idempotent,once" requests get 40 bytes in chunks

    Examples:
      | framing   |
      | chunks    |
      | its close |

  Scenario: The length of a stream is not passed on
    Another upstream may go on with it, and its bytes need not be as many.
    When an upstream answers a stream of 3 events with a length
    Then callers of "stream,resumable" requests get 3 events in chunks

  Scenario Outline: A status without a body states no length: <status>
    Its caller would wait for that body, or count it as missing.
    When an upstream answers <status> to POST without a body
    Then callers of "idempotent,once" requests get <status> without a length

    Examples:
      | status |
      | 204    |
      | 205    |
      | 304    |

  Scenario Outline: An answer to HEAD states the length of the one to GET: <status>
    When an upstream answers <status> to HEAD without a body
    Then callers of "idempotent,once" requests get <status> with a length of 40

    Examples:
      | status |
      | 200    |
      | 500    |

  Scenario: A caller sees that an answer which has begun breaks off
    Guards against callers that can't tell it from an answer which ends.
    When an upstream breaks off after 150000 of the 200000 bytes that it has stated
    Then callers of "idempotent,once" requests get that length and fewer bytes
