Feature: stage work on the heaviest days

  Scenario: An urgent request is judged by what goes before it
    A burst of large, less urgent requests waits. A draft would pass them all;
    it was refused for the length of the queue, as 30% were on a played day.
    Given a stage queue over workers in "a" with 60 pieces of urgency 1 waiting
    Then a group of urgency 0 that is due sooner has 0 pieces ahead of it
    And a group of urgency 2 that is due later has 60 pieces ahead of it

  Scenario: Pieces in calls under way are made before those that wait
    A stage is short of room, so its calls hold little and the rate counts. 256
    pieces are in calls, 364 wait, 650 are made a second: the wait is a second,
    not half of one, and who is let in by half of one is late.
    Given stage workers with 256 pieces in their calls
    Then behind 364 pieces at 650 a second the wait is 0.95 seconds

  Scenario: A backlog that was told counts whole while it is news
    Under a burst a queue grows as fast as it is worked off. Counted down by
    its age, it let requests in that were late at the next stage.
    Given a stage client that was told of a backlog of 1.2 seconds
    Then 0.9 seconds later a step there takes 1.2 seconds
    But 2.5 seconds later a step there takes its usual time

  Scenario: A stage that is short of room says so, and gets room back early
    Calls go out half empty, as results keep their room until the next step is
    done. Told so, hosts release them as soon as they were read.
    Given a stage queue over workers in "a"
    When stage groups "x" of 7 pieces and 100 bytes come
    And stage call 0 is answered
    Then stage request "x" is made, and its stage is short of room
    Given a stage queue over workers in "a"
    When stage groups "x" of 2 pieces and 100 bytes come
    And stage call 0 is answered
    Then stage request "x" is made, and its stage has room

  Scenario: A step beside a longer chain begins late
    A tag's records are needed with the last step's results, 1.5 s later. Made
    first, they keep a quarter of all room meanwhile, and summaries are refused
    for want of it.
    Given a tag's plan: a step beside a chain of three, 0.4 seconds each
    Then at first the chain begins and the step beside it waits
    And it still waits when the first step of the chain is made
    But it begins with the last step of the chain

  Scenario: A step beside a chain begins sooner when its queue is long
    Given a tag's plan: a step beside a chain of three, 0.4 seconds each
    When the step beside it would take 0.9 seconds
    Then it begins when the first step of the chain is made

  Scenario: A step that began late is never refused as the first
    The chain's work would be thrown away with it.
    Given a tag's chain whose first two steps are made
    Then the step beside it is asked for, not as the first one

  Scenario: A late request needs all its stages idle
    The first stage is idle and the second has a long queue. Let in there, all
    late requests made that queue longer.
    Given a first stage group due in -1.0 seconds that would wait 0.4
    Then it is taken with urgency 2
    But it is not taken while a later stage is crowded

  Scenario: A worker that failed does not keep its siblings idle
    One of two upstreams is gone and rests for seconds between tries. Pieces
    wait while the other works; when it falls free, nothing was drawn until the
    rest was over, and callers were refused for a queue that stood still.
    Given a stage queue over workers in "a,a"
    And its first stage worker rests for 4 seconds
    When stage groups "x" of 8 pieces and 10 bytes come
    And stage groups "y" of 8 pieces and 10 bytes come
    And stage call 0 is answered
    Then stage call 1 holds pieces of "y"
    When stage call 1 is answered
    And stage groups "z" of 1 pieces and 10 bytes come
    Then stage call 2 holds pieces of "z"
