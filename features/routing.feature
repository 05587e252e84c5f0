Feature: routing: which upstream takes a call

  Scenario: A routing straggler is hedged
    One worker becomes ten times slower while calls run on it. Without hedging
    callers would wait for it; a hedge on another worker is in time.
    Given a routing host whose worker becomes slow during a call
    Then the routing request is answered by another worker in time
    And the routing cost of wasted work is counted
    But without routing hedges the request is late

  Scenario: Routing ejection can't empty a pool
    A broken path makes every worker fail for a second. Each is ejected, for
    longer each time; without the threshold no worker would be left when the
    path works again.
    Given a routing pool in which every worker has just failed repeatedly
    Then a routing choice is still made
    But without the routing panic threshold there is none

  Scenario: Routing never sends to a leaving worker, even in panic mode
    All but the leaving worker have failed repeatedly.
    Given a routing pool in which every worker has just failed repeatedly
    And the routing worker "u0" leaves
    Then no routing choice in 200 is "u0"

  Scenario: Stale routing load reports
    Reports show one worker idle and the others busy, and no new ones arrive.
    Without own counts and decay, every call would go to the idle worker.
    Given routing load reports that show only "u0" idle
    When 40 routing calls are sent without a new report
    Then no routing worker has more than 16 of them
    But by routing reports alone "u0" has all 40

  Scenario: Routing keeps a prompt's prefix where it is cached, within bounds
    Calls with one prefix go to one worker while it has capacity; a frequent
    prefix spills over to others.
    Given a routing pool with idle workers
    Then 3 routing calls with one prefix go to one worker, other prefixes elsewhere
    And 40 routing calls with one prefix leave no worker above 1.5 calls per slot

  Scenario: Routing prefers the own domain and spills over
    Given a routing pool with workers in two domains
    Then the first routing calls stay in the own domain
    And 40 routing calls use both domains

  Scenario: Routing takes only engines that hold the model
    Given a routing pool in which only "u2" holds the model
    Then every routing choice for the model is "u2"
