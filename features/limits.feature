Feature: limits: admission under load

  Scenario: A limits burst of three times the capacity with one straggler
    A cold morning: three times the usual reports come at once, and one worker
    has turned ten times slower. Without a queue of its own the host hands all
    of them on, urgent ones wait behind the rest, and nearly all are late.
    Given limits hosts under a burst of 3 capacities with one straggler
    Then limits urgent attainment is at least 0.93
    And limits goodput is at least 0.7 of the capacity left
    But without limits admission urgent attainment is below 0.6

  Scenario: One limits team floods
    One large team sends four times what there is room for, all of it marked
    urgent. The small teams ask as little as ever and must not notice.
    Given limits hosts that one team floods with 4 capacities of urgent requests
    Then limits attainment of the small teams is at least 0.99
    But with one limits share for all teams it is below 0.9

  Scenario: A limits request that is given up is answered at once
    The queue is so long that a new request can't be in time. Its caller hears
    so at once and when to come back; nothing of it was sent anywhere.
    Given limits hosts under a burst of 3 capacities
    Then every limits refusal says when to come back
    And most limits refusals come within 0.01 seconds
    And no limits refusal comes after its deadline
    And no limits invariant is broken

  Scenario: Limits batch work is done under steady urgent load
    Urgent requests alone would take all there is, hour after hour. The day's
    reconciliations can wait, but not for ever.
    Given limits hosts with steady urgent load above capacity and some batch
    Then limits batch attainment is at least 0.95
    But without limits reserves it is below 0.5

  Scenario: The limits queue is full and a small team asks
    A flood has filled a host's short queue. A newcomer of another team takes
    the place of the flood's newest, who is told so at once.
    Given limits hosts with room for 20 waiting, flooded
    Then limits attainment of the small teams is at least 0.95

  Scenario: Many limits hosts share upstreams
    Eight hosts decide alone over the same four workers. Each starts with a
    limit that is too high for eight; slow answers and reports bring it down.
    Given 8 limits hosts under a burst of 3 capacities
    Then the limits workers' queues are below 1 call a slot at the end
    But with fixed limits of a worker's slots they are above 1.5
