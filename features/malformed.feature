Feature: Answers whose heads are malformed, and answers that are only unusual

  Scenario Outline: An answer with a malformed <part> reaches no caller
    Guards against bytes that are no answer in HTTP/1.1 and pass for one.
    When upstreams answer requests of each kind with a malformed <part>
    Then each caller gets 502, and what may run once was sent once

    Examples:
      | part                                |
      | status line                         |
      | status line without a number        |
      | phrase or value with a control byte |
      | name of a field                     |
      | body, as it has a content coding,   |
      | transfer coding                     |
      | switch of protocols before it       |
      | framing                             |

  Scenario: An answer with a malformed chunk is complete for no caller
    Guards against a part of an answer that passes for all of it.
    When upstreams answer requests of each kind with a malformed chunk
    Then no caller gets an answer that is complete, and what may run once was sent once

  Scenario: Unusual answers that are well-formed arrive
    The opposite case: whatever the grammar allows.
    When upstreams answer requests of each kind with what is unusual
    Then each caller gets status, proof and body of its upstream

  Scenario: An answer that has no body may name a content coding
    The opposite case: it is the one of the answer to another request.
    When an upstream answers HEAD with the coding that its body would have
    Then each caller gets status, proof and body of its upstream

  Scenario Outline: Whatever reads answers takes no malformed head: <reader>
    Guards against a host that believes what is no answer, of whatever it reads.
    When <reader> is answered with each malformed head
    Then none of them is taken for an answer, and each connection is closed
    And <reader> is answered by each unusual head

    Examples:
      | reader                      |
      | a stage call                |
      | a release of results        |
      | a request for a report      |
      | a load poll                 |
      | a request through a peer    |
      | a call of a pipeline        |
      | a call on a used connection |
      | a call that may run once    |
      | a call of an engine         |
      | a read of the store         |
      | a list of the store         |
      | a watch of the store        |
      | a write to the store        |
      | a read of the host list     |
      | a request for weights       |
      | a request of a caller       |

  Scenario: An upstream that switches protocols and keeps its connection open
    Guards against a request that waits until its deadline for an answer in HTTP.
    Given a host whose upstream keeps each connection open
    When the upstream answers a request with a switch of protocols
    Then its caller gets 502 while the connection is open

  Scenario: The connection of a malformed answer is closed at once
    Guards against connections that stay open while a server reads nothing.
    When a server answers a write of 8 MB at once with a malformed head
    And it reads on after the write has failed
    Then the server gets less than all of the write

  Scenario Outline: No part of a document is taken for it: <reader>
    Guards against half an answer whose connection was reset. A release of results
    needs no document: its status says all.
    When <reader> gets a part of an answer without a length, and a reset
    Then none of them is taken for an answer, and each connection is closed

    Examples:
      | reader                      |
      | a stage call                |
      | a request for a report      |
      | a load poll                 |
      | a call of a pipeline        |
      | a call that may run once    |
      | a call of an engine         |
      | a read of the store         |
      | a list of the store         |
      | a watch of the store        |
      | a write to the store        |
      | a read of the host list     |
      | a request for weights       |
      | a request of a caller       |

  Scenario Outline: What gets a malformed answer may have run: <reader>
    Guards against a second run, or a promise that there was none.
    When <reader> is answered with each malformed head
    Then it counts as one that may have run: <outcome>

    Examples:
      | reader                     | outcome  |
      | a stage call               | CallLost |
      | a request through a peer   | Lost     |
      | a call that may run once   | Lost     |
      | a write to the store       | InDoubt  |

  Scenario Outline: A log line tells the malformed part: <part>
    Guards against an upstream in trouble that operators can't find.
    When an upstream answers a request with a malformed <part>
    Then event 1207 names that upstream, and "<reason>"

    Examples:
      | part                                | reason                             |
      | status line                         | malformed status line              |
      | phrase or value with a control byte | malformed status line              |
      | body, as it has a content coding,   | malformed content coding           |
      | transfer coding                     | malformed transfer coding          |
      | switch of protocols before it       | malformed switch of protocols      |
      | name of a field                     | malformed head (InvalidHeaderName) |

  Scenario: New requests pass by an upstream whose answer was malformed
    Guards against an upstream in trouble that gets what others would answer.
    When an upstream answers a request with a malformed status line
    And 20 more requests are sent, which any upstream answers
    Then they are all answered by other upstreams
