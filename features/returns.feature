Feature: return times of callers that a full stage queue refuses

  Scenario: Slots fill in order and leave a quarter of the rate
    Callers that were all told the current wait came back together.
    Given return times of a queue that makes 40 pieces a second
    When 20 callers of 4 pieces are refused at a wait of 1 second
    Then no slot of 0.1 seconds has more than 3 promised pieces
    And their return times are in order, from 1.1 to 3.7 seconds

  Scenario: A caller that returns at its time goes before new ones
    Given a full queue with promised return times
    When caller "k" is refused as "first"
    And caller "k" returns as "second" at its time
    Then "second" waits
    When caller "n" sends "new"
    Then "new" is refused
    And "second" is made, and its log line tells that it returned

  Scenario: Urgent new groups are admitted as if behind returning ones
    Otherwise more is admitted than the queue makes.
    Given a returning group of urgency 2 that is due in 5 seconds
    Then a new group of urgency 0 that is due sooner has it ahead

  Scenario: A returning group is never ranked late
    It would wait until no group in time is left.
    Given a returning group of urgency 2 that is due in -1 seconds
    Then it is made before a new group of urgency 2

  Scenario: One that returns up to a second late is due, a later one is new
    Given a full queue with promised return times
    When caller "k" is refused as "first"
    Then caller "k" is due from its slot's start until 1 second after its end

  Scenario: A promise holds for one attempt
    A caller that sends many attempts at its time would take the places of
    others.
    Given a full queue with promised return times
    When caller "k" is refused as "first"
    And caller "k" returns as "second" at its time
    And caller "k" sends "third"
    Then "second" waits
    But "third" is refused

  Scenario: One that returns early is new and keeps its promise
    Given a full queue with promised return times
    When caller "k" is refused as "first"
    And caller "k" sends "early" 0.5 seconds later
    Then "early" is refused with the same return time

  Scenario: One that is admitted early frees its slot
    Given a full queue with promised return times
    When caller "k" is refused as "first"
    And the queue empties
    And caller "k" sends "early"
    Then "early" waits
    And no promise is kept in memory

  Scenario: A caller that is due too late for its deadline gets no place
    Its stage work would be made in vain.
    Given a full queue with promised return times
    When caller "k" is refused as "first"
    And caller "k" returns as "second" with 0.3 seconds left
    Then "second" is refused

  Scenario: A promise after a third of the time left is the present wait
    Given a full queue with promised return times
    When caller "k" with 6 seconds left is refused as "first"
    Then "first" is told the queue's wait

  Scenario: Callers are told the wait where no return times are promised
    Given a full queue without promised return times
    When caller "k" is refused as "first"
    Then "first" is told the queue's wait

  Scenario: Promises are dropped at the deadline
    Given return times of a queue that makes 40 pieces a second
    When 3 callers with 1.2 seconds left are refused at a wait of 0.2 seconds
    Then 3 promises are open after 0.5 seconds, and 0 after 1.35

  Scenario: The number of promises is limited
    Given return times of a queue that makes 900000 pieces a second
    When 20010 callers of 1 pieces are refused at a wait of 1 second
    Then 20000 promises are open after 0.5 seconds, and 0 after 3.1
    And the last 10 callers are promised nothing

  Scenario: The asking host adds no jitter to a promised time
    Given a forwarded "once" request with stage work
    And its stage work is refused with a promised time of 0.7 seconds
    Then it gets retry advice of 0.7 seconds

  Scenario: Hosts of the release before read a promised time as advice
    Given a refusal with a promised time of 2.5 seconds, sent to another host
    Then a host of this release reads the promise
    And a host of the release before reads advice of 2.5 seconds
    And a refusal of the release before is read as not promised

  Scenario: The next owner takes returning callers as new
    The owner loses power with its promises, while callers wait for their times.
    Given callers that return once, whose owner loses power
    Then each of their attempts ends once
    And some that returned to the next owner are refused, others answered

  Scenario: Returns under steady overload are served and spread
    Given callers that return once at 1.5 times the capacity
    Then at least 90 in 100 that returned at their time are served
    And no second has more than 1.5 times the mean of returns
