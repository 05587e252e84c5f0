Feature: decisions that follow what a host observes

  Scenario: What can't be in time is taken while the queue is short
    A caller's prompt is large and leaves 0.1 s for the stage, whose queue takes
    0.4 s. Refused, it comes back later still; and one that was late for longer
    was taken all the while.
    Given a first stage group due in 0.1 seconds that would wait 0.6
    Then it is taken with urgency 0
    Given a first stage group due in 0.1 seconds that would wait 0.8
    Then it is refused with urgency 0

  Scenario: A less urgent group is judged by a longer wait, not by fewer seconds
    A team that is less urgent asks with a target latency of a second. By 0.4 s a step it
    was refused on a calm day, with 266 ms of wait and 214 ms to spare.
    Given a first stage group due in 0.214 seconds that would wait 0.266
    Then it is taken with urgency 2 though a later stage is crowded
    But one that would wait 0.29 is not

  Scenario: A worker that does not answer is not counted on
    A domain is cut off with one of two workers, its call a second overdue. The
    queue's wait was taken from what was made in the last second, 3.8 s for 15
    pieces, and nearly all callers were refused.
    Given two stage workers of which one is overdue by 1.0 seconds
    Then 8 pieces wait for 0.9 seconds at most
    And pieces near the overdue one may be taken by the other

  Scenario: The measured rate counts only where room is short
    Given a stage queue over idle workers in "a,b" with a low measured rate
    Then its wait for 8 pieces is under 1.0 seconds

  Scenario: Pieces that are late wait a call for a worker near their inputs
    A domain comes back after a cut, and all that waited is late. Crossing at
    once, each chain moves 7.7 MB to another domain and gains nothing by it.
    Given stage pieces due in -2.0 seconds whose inputs lie in "b"
    Then a worker in "a" takes none of them while one in "b" is free in 0.3
    But it takes them when one in "b" is free in 1.9

  Scenario: Nothing waits for a near worker when calls are the bound
    A burst fills the queue with more than all workers take in a round. Calls of
    what lies near go out half empty, and a heavy day served 0.761 of its worth
    in place of 0.776.
    Given stage pieces due in 2.0 seconds whose inputs lie in "b"
    Then a worker in "a" takes them when a round takes 2 pieces

  Scenario: A step begins where its readers have workers
    One of three domains has lost its only worker of the last step. Results made
    there cross with each chain, a third of all.
    Given a chain whose heavy last step has workers in "b,c" only
    Then its previous step is preferred in "b,c"
    When that step is made in "b"
    Then its last step is preferred in "b"

  Scenario: An engine is chosen near large results
    A request holds 5 MB of results and little that an engine has read before.
    100 of 115 such requests went to an engine of another domain.
    Given model engines in "a,b,c" that are idle
    Then a request with 5 MB of results in "b" goes to one in "b"
    And a request whose home engine is in "a" goes there despite 1 MB in "b"

  Scenario: Results are released when they were fetched, not at the first token
    Results of 3 MB keep their room until the engine's first token, 0.25 s and
    more, though it has them in 60 ms; others are refused for want of room.
    Given a "stream" request with stage work whose engine has a free slot
    When 0.2 seconds pass without a first token
    Then its stage results are released

  Scenario: An engine with a full batch keeps its results
    It fetches them when the request's turn comes, seconds later.
    Given a "stream" request with stage work whose engine is full
    When 0.2 seconds pass without a first token
    Then its stage results are held

  Scenario: An engine that came too late makes the next release later
    Given engines that found results gone 2 times
    Then results of 1 MB are kept for 0.2 to 0.3 seconds
    And after 200 answers they are kept for 0.05 to 0.06 seconds

  Scenario: One frozen host does not spoil what is learned
    A host wakes after 30 s and takes all of them for one answer's time. Believed,
    every request would count as late for the next minute.
    Given first tokens after 0.2 seconds, 50 times
    When one token arrives after 30.0 seconds
    Then the next is expected after 0.2 to 0.25 seconds
    But after 60 more that arrive after 0.5 seconds it is expected after 0.4 to 0.5

  Scenario Outline: Silence is judged by what the route says: <kind>
    Given a "<kind>" route with a target latency of <aim> and pauses of <pause> seconds
    Then with <usual> expected seconds its silence limits are <first> and <between>

    Examples:
      | kind       | aim | pause | usual | first | between |
      | idempotent | 0.1 | 0     | 0.025 | 0.1   | 0.1     |
      | idempotent | 0.4 | 0     | 0.01  | 0.2   | 0.2     |
      | resumable  | 1.0 | 0.25  | 0.25  | 1.0   | 0.5     |
      | resumable  | 2.0 | 0     | 0.1   | 1.5   | 1.5     |
      | once       | 0.1 | 0     | 0.025 | none  | none    |
