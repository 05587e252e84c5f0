Feature: limits: admission under load

  Scenario: A limits burst of three times the capacity with one straggler
    Three times the capacity arrives at once, and one worker has become ten
    times slower. Without admission control the host forwards all requests at
    once, urgent ones wait behind the rest, and nearly all are late.
    Given limits hosts under a burst of 3 times the capacity with one straggler
    Then limits urgent attainment is at least 0.93
    And limits goodput is at least 0.7 of the remaining capacity
    But without limits admission urgent attainment is below 0.6

  Scenario: One limits team floods
    One large team sends four times the capacity, all of it marked urgent. The
    small teams send as little as before and must not be affected.
    Given limits hosts that one team floods with 4 times the capacity of urgent requests
    Then limits attainment of the small teams is at least 0.99
    But with one limits account for all teams it is below 0.9

  Scenario: A limits request that can't be in time is refused at once
    The queue is so long that a new request would miss its deadline. Its caller
    is refused at once with a time to retry, before any call was sent for it.
    Given limits hosts under a burst of 3 times the capacity
    Then every limits refusal gives a time to retry
    And most limits refusals arrive within 0.01 seconds
    And no limits refusal arrives after its deadline
    And no limits invariant is broken

  Scenario: Limits batch work is done under steady urgent load
    Urgent requests alone exceed the capacity for hours. Batch requests can
    wait, but must not starve.
    Given limits hosts with steady urgent load above capacity and some batch
    Then limits batch attainment is at least 0.95
    But without limits reserves it is below 0.5

  Scenario: The limits queue is full and a small team sends a request
    A flood has filled a host's short queue. A new request of another team
    replaces the newest request of the flood, which is refused at once.
    Given flooded limits hosts with a queue of 20 requests
    Then limits attainment of the small teams is at least 0.95

  Scenario: Many limits hosts share upstreams
    Eight hosts independently limit their calls to the same four workers. Their
    initial limits are too high together; slow answers and load reports reduce
    them.
    Given 8 limits hosts under a burst of 3 times the capacity
    Then the limits workers' queues are below 1 call per slot at the end
    But with fixed limits of a worker's slots they are above 1.5
