Feature: stage work under heavy load

  Scenario: Only pieces ranked before an urgent request delay its admission
    A burst of large, less urgent requests waits. A draft would overtake all of
    them, but it was refused for the length of the queue, as were 30% in a
    simulated day.
    Given a stage queue over workers in "a" with 60 pieces of urgency 1 waiting
    Then a group of urgency 0 that is due sooner has 0 pieces ahead of it
    And a group of urgency 2 that is due later has 60 pieces ahead of it

  Scenario: Pieces in calls under way count towards the expected wait
    A stage is short of memory, so its calls are small and the measured rate
    counts. 256 pieces are in calls, 364 wait, and 650 are made per second: the
    wait is a second, not half of one. Requests admitted for half a second would
    be late.
    Given stage workers with 256 pieces in their calls
    Then behind 364 pieces at 650 a second the wait is 0.95 seconds

  Scenario: A recent backlog is not reduced by its age
    In a burst a queue grows as fast as it is processed. When the backlog was
    reduced by its age, requests were admitted that were late at the next stage.
    Given a stage client that received a backlog of 1.2 seconds
    Then 0.9 seconds later a step there takes 1.2 seconds
    But 2.5 seconds later a step there takes its usual time

  Scenario: A stage reports a lack of memory and gets early releases
    Calls are sent half empty because results take up memory until the next step
    is done. When this is reported, hosts release results as soon as they were
    read.
    Given a stage queue over workers in "a"
    When stage groups "x" of 7 pieces and 100 bytes come
    And stage call 0 is answered
    Then stage request "x" is made, and its stage is short of memory
    Given a stage queue over workers in "a"
    When stage groups "x" of 2 pieces and 100 bytes come
    And stage call 0 is answered
    Then stage request "x" is made, and its stage has free memory

  Scenario: A step beside a longer chain starts late
    A tag's records are needed with the last step's results, 1.5 s later. If
    they were made first, they would take up a quarter of all memory in the
    meantime, and summaries would be refused for lack of it.
    Given a tag's plan: a step beside a chain of three, 0.4 seconds each
    Then at first the chain starts and the step beside it waits
    And it still waits when the first step of the chain is made
    But it starts with the last step of the chain

  Scenario: A step beside a chain starts sooner when its queue is long
    Given a tag's plan: a step beside a chain of three, 0.4 seconds each
    When the step beside it would take 0.9 seconds
    Then it starts when the first step of the chain is made

  Scenario: A step that started late is never refused as a first step
    A refusal would discard the results of the chain.
    Given a tag's chain whose first two steps are made
    Then the step beside it is requested, not as a first step

  Scenario: A late request needs all its stages idle
    The first stage is idle and the second has a long queue. Late requests that
    the first stage admitted lengthened that queue.
    Given a first stage group due in -1.0 seconds that would wait 0.4
    Then it is taken with urgency 2
    But it is not taken while a later stage is crowded

  Scenario: A worker that failed does not keep its siblings idle
    One of two upstreams is gone and rests for seconds between tries. Pieces
    wait while the other one works. When it was free again, nothing was
    dispatched until the rest was over, and callers were refused by a stalled
    queue.
    Given a stage queue over workers in "a,a"
    And its first stage worker rests for 4 seconds
    When stage groups "x" of 8 pieces and 10 bytes come
    And stage groups "y" of 8 pieces and 10 bytes come
    And stage call 0 is answered
    Then stage call 1 holds pieces of "y"
    When stage call 1 is answered
    And stage groups "z" of 1 pieces and 10 bytes come
    Then stage call 2 holds pieces of "z"
