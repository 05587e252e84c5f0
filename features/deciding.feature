Feature: decisions from a host's observations

  Scenario: A group that can't meet its deadline is admitted while the queue is short
    A caller's prompt is large and leaves 0.1 s for the stage, whose queue takes
    0.4 s. If it is refused, its retry is even later, while groups that had been
    late for longer were admitted.
    Given a first stage group due in 0.1 seconds that would wait 0.6
    Then it is taken with urgency 0
    Given a first stage group due in 0.1 seconds that would wait 0.8
    Then it is refused with urgency 0

  Scenario: Lower urgency scales the wait of a group and does not shorten its time
    A less urgent team sends requests with a target latency of a second. With
    0.4 s subtracted for each step, such a request was refused on a day without
    faults, with 266 ms of wait and 214 ms to spare.
    Given a first stage group due in 0.214 seconds that would wait 0.266
    Then it is taken with urgency 2 though a later stage is crowded
    But one that would wait 0.29 is not

  Scenario: A worker that does not answer does not count as capacity
    A domain with one of two workers is cut off, its call a second overdue. The
    queue's wait was estimated from the pieces made in the last second, 3.8 s
    for 15 pieces, and nearly all callers were refused.
    Given two stage workers of which one is overdue by 1.0 seconds
    Then 8 pieces wait for 0.9 seconds at most
    And pieces near the overdue one may be taken by the other

  Scenario: The measured rate counts only when workers are short of result memory
    Given a stage queue over idle workers in "a,b" with a low measured rate
    Then its wait for 8 pieces is under 1.0 seconds

  Scenario: Late pieces wait up to one call for a worker near their inputs
    A domain returns after a partition, and all waiting pieces are late. If they
    were sent to another domain at once, each chain would move 7.7 MB between
    domains without being faster.
    Given stage pieces due in -2.0 seconds whose inputs lie in "b"
    Then a worker in "a" takes none of them while one in "b" is free in 0.3
    But it takes them when one in "b" is free in 1.9

  Scenario: No piece waits for a near worker when call capacity is the limit
    A burst fills the queue with more than all workers take in a round. Calls
    with near pieces only are sent half empty, and a day with heavy load served
    0.761 of its value instead of 0.776.
    Given stage pieces due in 2.0 seconds whose inputs lie in "b"
    Then a worker in "a" takes them when a round takes 2 pieces

  Scenario: A step runs in a domain where the next step has workers
    One of three domains has lost its only worker of the last step. Results made
    there cross to another domain with each chain, a third of all chains.
    Given a chain whose heavy last step has workers in "b,c" only
    Then its previous step is preferred in "b,c"
    When that step is made in "b"
    Then its last step is preferred in "b"

  Scenario: An engine is chosen near large results
    A request holds 5 MB of results and shares little of its prompt. 100 of 115
    such requests were sent to an engine of another domain.
    Given model engines in "a,b,c" that are idle
    Then a request with 5 MB of results in "b" goes to one in "b"
    And a request whose home engine is in "a" goes there despite 1 MB in "b"

  Scenario: Results are released after the fetch, not at the first token
    Results of 3 MB occupy result memory until the engine's first token, at
    least 0.25 s, though the engine has them in 60 ms; other requests are
    refused for lack of memory.
    Given a "stream" request with stage work whose engine has a free slot
    And the memory for stage results is short
    When 0.2 seconds pass without a first token
    Then its stage results are released

  Scenario: Results are held for an engine that may stand still while memory is free
    Given a "stream" request with stage work whose engine has a free slot
    When 0.2 seconds pass without a first token
    Then its stage results are held

  Scenario: Results are held for an engine with a full batch
    It fetches them when it starts the request, seconds later.
    Given a "stream" request with stage work whose engine is full
    When 0.2 seconds pass without a first token
    Then its stage results are held

  Scenario: An engine that finds its results released delays the next release
    Given engines that found results gone 2 times
    Then results of 1 MB are kept for 0.2 to 0.3 seconds
    And after 200 answers they are kept for 0.05 to 0.06 seconds

  Scenario: One outlier of a frozen host does not distort the estimate
    A host resumes after 30 s and measures all of them as one answer's time. If
    this were accepted, every request would count as late for the next minute.
    Given first tokens after 0.2 seconds, 50 times
    When one token arrives after 30.0 seconds
    Then the next is expected after 0.2 to 0.25 seconds
    But after 60 more that arrive after 0.5 seconds it is expected after 0.4 to 0.5

  Scenario Outline: Silence limits follow from the route: <kind>
    Given a "<kind>" route with a target latency of <aim> and pauses of <pause> seconds
    Then with <usual> expected seconds its silence limits are <first> and <between>

    Examples:
      | kind       | aim | pause | usual | first | between |
      | idempotent | 0.1 | 0     | 0.025 | 0.1   | 0.1     |
      | idempotent | 0.4 | 0     | 0.01  | 0.2   | 0.2     |
      | resumable  | 1.0 | 0.25  | 0.25  | 1.0   | 0.5     |
      | resumable  | 2.0 | 0     | 0.1   | 1.5   | 1.5     |
      | once       | 0.1 | 0     | 0.025 | none  | none    |

  Scenario: An unproven request with a prompt whose service has no upstream has no candidates
    The last upstream of its service goes while the request waits for one.
    Then no upstream is a candidate of an unproven request with a prompt

  Scenario: Short prompts of one head go to one engine
    Forty heads of 120 tokens are shared by 1,900 users with 80 tokens each. By
    the users' parts each of 70 engines read each head.
    Given 70 idle model engines in one domain
    Then prompts of 40 heads and 200 users are read at 40 engines at most

  Scenario: An engine without a report isn't preferred as an idle one
    A host has reports of few of 70 engines. Requests left each home engine that
    had reported its load, for an engine that nothing was known of.
    Given 70 idle model engines in one domain
    And a quarter of them have reported 12 running requests
    Then prompts of 40 heads and 200 users go to their home engines

  Scenario: What a slow home engine does not get goes to one other engine
    Guards against parts of a slow home engine that are read at many engines.
    Given 70 idle model engines in one domain
    When the home engine of "head0" takes 3 times the usual time
    Then 20 prompts of "head0" go to one other engine
