Feature: Answers without a length, which end with their connections

  Scenario Outline: A part of an answer is complete for no caller: its upstream <how>, <path>
    Guards against a close that is taken for the end of an answer.
    When an upstream <how> in the middle of an answer that is read <path>
    Then no kind of caller gets an answer that is complete

    Examples:
      | how                                   | path           |
      | is killed                             | directly       |
      | is killed                             | through a peer |
      | is killed and replaced                | directly       |
      | is killed and replaced                | through a peer |
      | closes an upload that it has not read | directly       |
      | closes an upload that it has not read | through a peer |

  Scenario Outline: An answer that its upstream has ended arrives: it <how>, <path>
    The opposite case: upstreams may end an answer by closing its connection.
    When an upstream <how>, which is read <path>
    Then each kind of caller gets the whole answer

    Examples:
      | how                                            | path           |
      | ends its answer                                | directly       |
      | ends its answer                                | through a peer |
      | ends its answer and reads on                   | directly       |
      | ends its answer and reads on                   | through a peer |
      | ends its answer after it has stopped to listen | directly       |
      | ends its answer after it has stopped to listen | through a peer |

  Scenario: An end that an older peer passes on is not believed
    Guards against hosts of two versions, of which one passes on any close in order.
    When an upstream ends its answer, which is read through an older peer
    Then no kind of caller gets an answer that is complete

  Scenario: The connection of a caller that can't read chunks is reset if its host ends
    Guards against a host that is killed, whose close such a caller takes for the end.
    Given a host whose upstream keeps each connection open
    When an HTTP/1.0 caller has got a part of a stream
    Then its connection is reset if the host ends, until the answer has ended
