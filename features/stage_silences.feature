Feature: stage work while upstreams, hosts and links stand still and go on

  Scenario: A worker that stood still once is not slow
    After one silence of all workers, their owner took each for several times
    slower, so that an idle queue refused requests as busy for seconds.
    Given a stage queue over workers in "a"
    When stage groups "r" of 1 pieces and 10 bytes come
    And 2 seconds of stage time pass
    And stage call 0 is answered
    Then its wait for 8 pieces is under 1.0 seconds

  Scenario: A worker that is slow in two calls in a row counts as slow
    Given a stage queue over workers in "a"
    When stage groups "r" of 1 pieces and 10 bytes come
    And 0.76 seconds of stage time pass
    And stage call 0 is answered
    And stage groups "s" of 1 pieces and 10 bytes come
    And 0.76 seconds of stage time pass
    And stage call 1 is answered
    Then its stage workers are slow
