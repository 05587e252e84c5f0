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

  Scenario: The silence of all workers is no evidence against one of them
    Calls end at different times. Once all but one were overdue, that one alone
    counted as the whole stage: nearly all requests were refused as busy.
    Given two stage workers of which one is overdue by 1.0 seconds
    And none has answered since
    Then behind 8 pieces the wait is that of two workers

  Scenario Outline: Few requests are refused when stage workers stand still
    The callers have six seconds or more, so nearly all can be answered.
    When <number> of 12 stage workers stand still for <seconds> seconds, twice
    Then at most <most> requests are refused
    And no request waits for ever

    Examples:
      | number | seconds | most |
      | 12     | 1.0     | 10   |
      | 12     | 1.8     | 10   |
      | 6      | 1.8     | 10   |

  Scenario Outline: Few requests are refused when an owner's host is stopped
    Its requests go to the next owner, whose calls wait behind those that the
    stopped host sends when it goes on. Inputs were released before they began.
    When the host that owns a stage is stopped for <seconds> seconds, twice
    Then at most <most> requests are refused
    And no request waits for ever

    Examples:
      | seconds | most |
      | 1.3     | 1    |

  Scenario: A call that is given up while all workers are silent may still answer
    Its pieces could not be sent again for lack of budget, and their request was
    refused as failed just before the worker went on.
    Given a stage queue over workers in "a"
    And no stage repeats remain
    When stage groups "x" of 2 pieces and 10 bytes come
    And 3 seconds of stage time pass
    Then stage request "x" is still waiting
    When stage call 0 is answered
    Then stage request "x" is made

  Scenario: A call that is given up while another worker answers is not waited for
    Given a stage queue over workers in "a,a"
    And no stage repeats remain
    When stage groups "x" of 2 pieces and 10 bytes come
    And 1 seconds of stage time pass
    And stage groups "y" of 2 pieces and 10 bytes come
    And stage call 1 is answered
    And 2 seconds of stage time pass
    Then stage request "x" is refused as "failed"
