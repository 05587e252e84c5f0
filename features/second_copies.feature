Feature: Upstreams that answer twice, or with two framings that contradict

  Scenario Outline: A second answer is no part of the first: after <first>, <path>
    Guards against bytes of a second head or body that pass for a part of the answer.
    When <first> is sent and then a second one, both read <path>
    Then no caller gets an answer that is complete of what was sent twice

    Examples:
      | first                                   | path           |
      | an answer without a length              | directly       |
      | an answer without a length              | through a peer |
      | half of an answer without a length      | directly       |
      | half of an answer without a length      | through a peer |
      | half of an answer with a length         | directly       |
      | half of an answer with a length         | through a peer |
      | an answer whose length is higher by 3   | directly       |
      | an answer whose length is higher by 100 | directly       |
      | half of a long answer with a length     | directly       |
      | half of an answer in chunks             | directly       |
      | half of an answer in chunks             | through a peer |
      | half of a chunk                         | directly       |

  Scenario Outline: A whole answer before a second one arrives: <first>, <path>
    The opposite case: its length or its last chunk tells where it ends.
    When <first> is sent and then a second one, both read <path>
    Then each caller gets the first answer alone

    Examples:
      | first                        | path           |
      | a whole answer with a length | directly       |
      | a whole answer with a length | through a peer |
      | a whole answer in chunks     | directly       |
      | a whole answer in chunks     | through a peer |

  Scenario Outline: A length that contradicts the chunks: <size>, <path>
    Guards against an answer that is whole by one framing and not by the other.
    When a length of <size> is sent beside chunks and read <path>
    Then no caller gets an answer that is complete of what was sent twice

    Examples:
      | size | path           |
      | 500  | directly       |
      | 500  | through a peer |
      | 5    | directly       |
      | 5    | through a peer |
      | 0    | directly       |

  Scenario: Bodies that look like a second answer in part arrive
    The opposite case: a body may hold what it wants, status lines too.
    When bodies are sent that look like a second answer in part
    Then each caller gets all of the body

  Scenario: A second head is found however it is received
    Guards against a head that is split where a search for it doesn't look.
    When a second head is received in three parts, cut at any two bytes
    Then it is found with its last byte, and not in a body that it doesn't echo

  Scenario: An answer that may end in a second head arrives on an open connection
    The opposite case: no more bytes come, and its upstream keeps the connection.
    Given a host whose upstream keeps each connection open
    When the upstream sends bodies of a length that end in a part of a head
    Then each caller gets all of the body

  Scenario Outline: A search for a second head keeps a head's length at most: <part>
    Guards against a body that is kept in memory, as a line of it never ends.
    When 1 MB is searched of a head whose <part> never ends
    Then at most 64 kB of them are kept, and a second head after them is found

    Examples:
      | part        |
      | status line |
      | field       |
      | list        |

  Scenario: A request that may be repeated gets what another upstream answers
    Guards against a caller who pays for an upstream that answers twice.
    When the first of two upstreams answers an idempotent request twice
    Then its caller gets the whole answer of the other one

  Scenario Outline: A log line tells what was wrong: <fault>
    Guards against an upstream in trouble that operators can't find.
    When <fault> is sent to a request that may run once
    Then event 1207 says "<reason>", and that its body was <end>

    Examples:
      | fault                       | reason                                        | end       |
      | a second answer             | torn answer, second answer in it              | repeated  |
      | a length that contradicts   | torn answer, its length and chunks contradict | misframed |

  Scenario Outline: Bytes after an answer end its connection: <reader>
    Guards against a second answer, or the rest of one, that is read as the next answer.
    When <reader> is answered twice, the second time <moment>
    Then each later request gets its own answer

    Examples:
      | reader                   | moment                       |
      | a stage call             | at once                      |
      | a stage call             | in part at once              |
      | a stage call             | while the connection is idle |
      | a request for a report   | at once                      |
      | a request for a report   | in part at once              |
      | a request for a report   | while the connection is idle |
      | a load poll              | at once                      |
      | a load poll              | in part at once              |
      | a load poll              | while the connection is idle |
      | a call of a pipeline     | at once                      |
      | a call of a pipeline     | in part at once              |
      | a call of a pipeline     | while the connection is idle |
      | a call that may run once | at once                      |
      | a call that may run once | in part at once              |
      | a call that may run once | while the connection is idle |
      | a call of an engine      | at once                      |
      | a call of an engine      | in part at once              |
      | a call of an engine      | while the connection is idle |
      | a read of the store      | at once                      |
      | a read of the store      | in part at once              |
      | a read of the store      | while the connection is idle |
      | a list of the store      | at once                      |
      | a list of the store      | in part at once              |
      | a list of the store      | while the connection is idle |
      | a watch of the store     | at once                      |
      | a watch of the store     | in part at once              |
      | a watch of the store     | while the connection is idle |
      | a write to the store     | at once                      |
      | a write to the store     | in part at once              |
      | a write to the store     | while the connection is idle |
      | a read of the host list  | at once                      |
      | a read of the host list  | in part at once              |
      | a read of the host list  | while the connection is idle |
      | a request of a caller    | at once                      |
      | a request of a caller    | in part at once              |
      | a request of a caller    | while the connection is idle |

  Scenario Outline: A late second answer is not that to the next request: <reader>
    Guards against what was asked for before, in place of what is asked for now.
    When <reader> is answered twice, the second time before the next answer
    Then each later request gets its own answer or none

    Examples:
      | reader                   |
      | a stage call             |
      | a request for a report   |
      | a load poll              |
      | a call of a pipeline     |
      | a call that may run once |
      | a call of an engine      |
      | a read of the store      |
      | a list of the store      |
      | a watch of the store     |
      | a write to the store     |
      | a read of the host list  |
      | a request of a caller    |

  Scenario Outline: No document is read of what was sent or framed twice: <reader>, <fault>
    Guards against a part of a document, or two of them, that pass for one. Of releases
    of results and tickets for weights the status says all.
    When <reader> gets <fault> of its answer
    Then none of them is taken for an answer, and each connection is closed

    Examples:
      | reader                   | fault                                |
      | a stage call             | a part of its length, and again      |
      | a stage call             | a length that is too high, and again |
      | a stage call             | no length, and again                 |
      | a stage call             | a length beside other chunks         |
      | a request for a report   | a part of its length, and again      |
      | a request for a report   | a length that is too high, and again |
      | a request for a report   | no length, and again                 |
      | a request for a report   | a length beside other chunks         |
      | a load poll              | a part of its length, and again      |
      | a load poll              | a length that is too high, and again |
      | a load poll              | no length, and again                 |
      | a load poll              | a length beside other chunks         |
      | a call of a pipeline     | a part of its length, and again      |
      | a call of a pipeline     | a length that is too high, and again |
      | a call of a pipeline     | no length, and again                 |
      | a call of a pipeline     | a length beside other chunks         |
      | a call that may run once | a part of its length, and again      |
      | a call that may run once | a length that is too high, and again |
      | a call that may run once | no length, and again                 |
      | a call that may run once | a length beside other chunks         |
      | a read of the store      | a part of its length, and again      |
      | a read of the store      | a length that is too high, and again |
      | a read of the store      | no length, and again                 |
      | a read of the store      | a length beside other chunks         |
      | a list of the store      | a part of its length, and again      |
      | a list of the store      | a length that is too high, and again |
      | a list of the store      | no length, and again                 |
      | a list of the store      | a length beside other chunks         |
      | a watch of the store     | a part of its length, and again      |
      | a watch of the store     | a length that is too high, and again |
      | a watch of the store     | no length, and again                 |
      | a watch of the store     | a length beside other chunks         |
      | a write to the store     | a part of its length, and again      |
      | a write to the store     | a length that is too high, and again |
      | a write to the store     | no length, and again                 |
      | a write to the store     | a length beside other chunks         |
      | a read of the host list  | a part of its length, and again      |
      | a read of the host list  | a length that is too high, and again |
      | a read of the host list  | no length, and again                 |
      | a read of the host list  | a length beside other chunks         |
      | a request of a caller    | a part of its length, and again      |
      | a request of a caller    | a length that is too high, and again |
      | a request of a caller    | no length, and again                 |
      | a request of a caller    | a length beside other chunks         |
      | a stream of a caller     | a part of its length, and again      |
      | a stream of a caller     | a length that is too high, and again |
      | a stream of a caller     | no length, and again                 |
      | a stream of a caller     | a length beside other chunks         |
      | a call of an engine      | a part of its length, and again      |
      | a request for weights    | a length beside other chunks         |
      | a release of results     | a length beside other chunks         |

  Scenario Outline: A stream that has told its end needs no more: <fault>
    The opposite case: an engine's last event holds the number of its tokens.
    When a call of an engine gets <fault> of its answer
    Then whatever is taken for an answer is the text before the second one

    Examples:
      | fault                                |
      | a length that is too high, and again |
      | no length, and again                 |
