Feature: live soak: the links between callers, hosts and upstreams

  Scenario Outline: A link passes on how its server ends a connection
    Guards against a reset that hosts take for the end of a whole answer.
    Given a link of the live soak to a server
    When its caller has "half" of an answer and the server <ends> the connection
    Then the caller sees its connection <seen>

    Examples:
      | ends   | seen   |
      | closes | closed |
      | resets | reset  |

  Scenario: A link passes on that its server sends no more and reads on
    Guards against half-closed connections that hosts never see.
    Given a link of the live soak to a server
    When its caller, which stays open, has "half" of an answer
    And the server closes its sending side
    Then the caller sees its connection half closed
    And the server gets what the caller sends after that

  Scenario: A link passes on a reset that follows a close
    Guards against uploads that nobody has read and that seem to be received.
    Given a link of the live soak to a server
    When its caller, which stays open, has "half" of an answer
    And the server closes the connection without reading what the caller sends
    Then the caller sees its connection half closed
    And the caller sees that it is reset after that

  Scenario: A killed server closes all its connections in order
    Guards against killed processes that hosts tell by resets.
    Given a link of the live soak to a server
    When its caller, which stays open, has "half" of an answer
    And the server's process is killed
    Then the caller sees its connection half closed
    And nobody accepts a connection to the link

  Scenario: A link delivers what it got before a reset
    Guards against answers that a link loses, for which their hosts are charged.
    Given a link of the live soak to a server
    When its caller has "half" of an answer and the link is blocked
    And the server resets the connection before the link is sound again
    Then the caller has the "halfrest" of the answer and sees its connection reset

  Scenario Outline: The end of a caller's connection is known on a link that is <state>
    Guards against a link's own open end that is taken for a host that reads on.
    Given a link of the live soak to a server
    When its caller has "half" of an answer and the link is <state>
    And the caller closes its connection
    Then the link knows that the caller's end is closed

    Examples:
      | state   |
      | sound   |
      | silent  |
      | blocked |

  Scenario: A caller that has closed behind a blocked link is known to have
    Guards against a host that is charged for what its upstream reads too late.
    Given a link of the live soak to a server
    When its caller has "half" of an answer and the link is blocked
    And the caller closes its connection
    Then the link knows at any time that the caller's end is closed

  Scenario: A caller that goes on reading a silent link is known
    Guards against hosts that hold what their requests no longer need.
    Given a link of the live soak to a server
    When its caller has "half" of an answer and the link is silent
    Then the link knows that the caller's end is open

  Scenario Outline: A connection that found no process is known
    Guards against a host that is charged for what no process of it has got.
    Given a link of the live soak to a server
    When the link has <target> and a caller connects
    Then its connection counts as <state>

    Examples:
      | target                               | state   |
      | its server                           | read    |
      | no server                            | refused |
      | an ended server that was told to end | refused |
      | an ended server                      | charged |

  Scenario: A connection that found no process is known when one is up again
    Guards against a host that is charged as it starts.
    Given a link of the live soak to a server
    When the link has no server and a caller connects
    And its server is up again
    Then its connection counts as refused

  Scenario: Another process takes the port of a link that has closed
    Guards against answers of other processes that a run takes for its hosts' own.
    Given a link of the live soak that has closed
    When a server of another run listens at its port
    Then nobody accepts a connection to the link

  Scenario: A connection is found beside one whose server's end has closed
    Guards against endless answers that seem to be read for good, as they never began.
    Given a link of the live soak to a server
    When its caller has "half" of an answer and the link is blocked
    And the server resets the connection before its answer is delivered
    Then the link finds the connection of the next caller
