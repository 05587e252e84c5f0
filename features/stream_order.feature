Feature: Each piece of a stream comes once, in its order, and up to the last

  Scenario Outline: A stream whose upstreams break off, stand still or stutter: <way>
    Guards against pieces that are missing, come twice or are of two runs, and ends that come too soon.
    When resumable streams of 40 seeds are at upstreams of which some do "<way>"
    Then each caller gets the pieces of its stream in order, complete with the last one

    Examples:
      | way                    |
      | silent                 |
      | killed                 |
      | ends inside an event   |
      | starts again           |
      | goes back              |
      | ignores the last event |
      | repeats an event       |
      | has nothing more       |
      | refuses                |
      | fails                  |

  Scenario Outline: A stream in which an upstream begins again is taken up elsewhere: <again>
    Guards against events that are passed on a second time, with the next new one or at the end.
    Given a host with 2 upstreams that close each connection after their answer
    When an upstream of a resumable stream <again>
    Then the caller gets each event once, and the stream is complete

    Examples:
      | again                               |
      | sends its first events again        |
      | answers twice without framing       |
      | goes on from the first event        |
      | breaks off after a repeated event   |

  Scenario Outline: A stream of which more was seen does not end without it: the first upstream <breaks off>
    Guards against a failure before the first event that passes as the end of a stream.
    Given a host with 2 upstreams that close each connection after their answer
    When an upstream <breaks off> of a further event, and others add none
    Then the caller gets no answer that is complete
    And it has each event once

    Examples:
      | breaks off                       |
      | breaks off in the middle         |
      | ends its chunks in the middle    |
      | breaks off after the beginning   |

  Scenario Outline: A stream whose engines are killed one after the other is cut off: <count> events more, <begun>
    Guards against a close that is taken for the end of a stream that goes on.
    When each engine of a stream that <begun> is killed after <count> further events
    Then its caller gets the events in order, and no end

    Examples:
      | begun                  | count |
      | goes on at the host    | 2     |
      | goes on at the host    | 0     |
      | its caller takes up    | 2     |
      | its caller takes up    | 0     |

  Scenario: An event with an empty identifier is no point to go on from
    Guards against a stream that is begun anew after a part of it was passed on.
    Given a host with 2 upstreams that close each connection after their answer
    When an upstream of a resumable stream breaks off after an empty identifier
    Then the caller gets each event once, and the stream is complete

  Scenario: A resumed stream that begins anew at each upstream is cut off
    Guards against a run that is joined to another one from its first event on.
    Given a host with 2 upstreams that close each connection after their answer
    When the upstreams of a resumed stream begin at its first event
    Then the caller gets no answer that is complete
    And it has each event once
