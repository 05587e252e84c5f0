Feature: upstreams that fall silent and go on end no answer

  Whole hosts over as many upstreams, in virtual time; nothing crashes, and each
  caller has time left. Upstreams stand still for 1.3 and for 2.5 seconds, with
  and without a change of the configuration meanwhile.

  Scenario: No answer ends because all upstreams stand still
    Guards against hosts that give up a living attempt for one that fares no better.
    When all upstreams stand still
    Then no first answer of a silence is cut off or refused

  Scenario: No answer ends because a part of the upstreams stands still
    Guards against hosts that give up a living attempt before another one has begun.
    When three fifths of the upstreams stand still
    Then no first answer of a silence is cut off or refused

  Scenario: No request that is sent once ends because upstreams stand still
    Guards against a limit on the silence of an attempt that can't be repeated.
    When all upstreams stand still, and requests are sent once
    Then no first answer of a silence is cut off or refused

  Scenario: Callers go on elsewhere while upstreams are silent for good
    The opposite case: hosts that wait for an upstream that never goes on.
    When a part of the upstreams is silent for good
    Then each caller of a silence has its whole answer in its time

  Scenario: A request goes on elsewhere when its connection is silent for good
    The opposite case: a connection that is lost while its upstream serves others.
    When single connections are silent for good
    Then each caller of a silence has its whole answer in its time
    And no first answer is cut off or refused while one of its connections is sound

  Scenario Outline: Silences cost no rule: <silence>
    Guards against answers of two attempts that are joined wrongly, and floods of repeats.
    When <silence>
    Then each stream of a silence comes in order, without gap or repeat
    And no request of a silence reaches more upstreams than its route allows
    And no window of a silence has more repeats than the budget allows

    Examples:
      | silence                                               |
      | all upstreams stand still                             |
      | three fifths of the upstreams stand still             |
      | all upstreams stand still, and requests are sent once |
      | a part of the upstreams is silent for good            |
      | single connections are silent for good                |

  Scenario: A simulated upstream that stands still goes on where it was
    Given a simulated upstream that has sent 3 events of a stream
    When it stands still for 2.5 seconds, and gets a second request meanwhile
    Then nothing leaves it until it goes on, and it accepts connections
    And the remaining events come at their gaps, and the second stream after it

  Scenario: A simulated upstream notices a closed connection when it goes on
    Given a simulated upstream that has sent 3 events of a stream
    When it stands still for 2.5 seconds, and the host closes the connection
    Then it is at work on the stream until it goes on, and makes no further event

  Scenario: A simulated connection is silent for good while its upstream serves
    Given a simulated upstream that has sent 3 events of a stream
    When its connection is silent for good, and it gets a second request
    Then the first stream brings nothing more, and the second one is complete
