Feature: routing: which upstream takes a call

  Scenario: A routing straggler is hedged
    One worker turns ten times slower while calls run on it. Callers would
    wait for it; a second try on another worker answers them in time.
    Given a routing host whose worker turns slow under a call
    Then the routing request is answered by another worker in time
    And the routing cost of what was in vain is counted
    But without routing hedges the request is late

  Scenario: Routing ejection can't empty a pool
    A broken path makes every worker fail for a second. Each is kept out, for
    longer each time; when the path is back, nobody would be left to ask.
    Given a routing pool in which every worker has just failed often
    Then a routing choice is still made
    But without the routing panic threshold there is none

  Scenario: Routing never sends to a leaving worker, in panic or not
    All but the leaving worker have failed often.
    Given a routing pool in which every worker has just failed often
    And the routing worker "u0" leaves
    Then no routing choice in 200 is "u0"

  Scenario: Stale routing load reports
    Reports say that one worker is idle and the others are busy, and no new
    ones come. Believed as they stand they would send every call there.
    Given routing load reports that call only "u0" idle
    When 40 routing calls are sent without a new report
    Then no routing worker has more than 16 of them
    But believing routing reports alone "u0" has all 40

  Scenario: Routing keeps a prompt's prefix where it is cached, within bounds
    Calls with one prefix go to one worker while it has room; a hot prefix
    does not pile up there.
    Given a routing pool with idle workers
    Then 3 routing calls with one prefix go to one worker, other prefixes elsewhere
    And 40 routing calls with one prefix leave no worker above 1.5 calls a slot

  Scenario: Routing prefers the own domain and spills over
    Given a routing pool with workers in two domains
    Then the first routing calls stay in the own domain
    And 40 routing calls use both domains

  Scenario: Routing takes only engines that hold the model
    Given a routing pool in which only "u2" holds the model
    Then every routing choice for the model is "u2"
