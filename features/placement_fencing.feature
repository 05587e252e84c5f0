Feature: placement fencing: orders of an old holder have no effect

  Scenario Outline: A placement holder that is paused sends an order too late
    The holder is suspended just before it sends an order. Its term ends, and
    a successor acts. When the old holder resumes, it would send an outdated
    order. Each guard alone prevents this; with none the order is accepted.
    Given placement engines "e1" for models "draft" that <kind> fencing
    And a placement host "a" that holds the lease
    And a placement follower "b"
    And placement host "a" has its term measured by the <clock> clock
    And placement host "a" works without "<without>"
    And placement engine "e1" holds "draft" and has 0 calls in flight
    When placement host "a" is paused before its order, and "b" takes over
    And placement host "a" resumes
    Then placement engines accepted <orders> orders of host "a"

    Examples: both kinds of engines with all guards
      | kind   | clock | without | orders |
      | check  | boot  | nothing | 0      |
      | ignore | boot  | nothing | 0      |

    Examples: engines that check
      | kind  | clock     | without       | orders |
      | check | boot      | announcements | 0      |
      | check | monotonic | nothing       | 0      |
      | check | monotonic | announcements | 1      |

    Examples: engines that ignore
      | kind   | clock     | without | orders |
      | ignore | boot      | intents | 0      |
      | ignore | monotonic | nothing | 0      |
      | ignore | monotonic | intents | 1      |

  Scenario: A delayed placement order is refused
    The order is sent within the term, but the network delays it until
    a successor has acted. Only the check of the engine can prevent it.
    Given placement engines "e1" for models "draft" that check fencing
    And a placement host "a" that holds the lease
    And a placement follower "b"
    When an order of placement host "a" is delayed, and "b" takes over
    And the delayed placement order arrives
    Then placement engine "e1" refused 1 orders

  Scenario: A delayed placement order is corrected
    The engine ignores fencing numbers, so the delayed order returns it to the
    old version. The successor reads the state and sends its order again.
    Given placement engines "e1" for models "draft" that ignore fencing
    And a placement host "a" that holds the lease
    And a placement follower "b"
    When an order of placement host "a" is delayed, and "b" takes over
    And the placement manifest changes to version "2" at "b" alone
    And 20 placement seconds pass
    Then placement engine "e1" holds "draft:2" and gets new work
    When the delayed placement order arrives
    Then placement engine "e1" was last ordered to hold "draft:1"
    When 30 placement seconds pass
    Then placement engine "e1" holds "draft:2" and gets new work

  Scenario: A placement host that receives a higher fence steps down
    An engine reports a fencing number above that of the holder, so another
    host has acquired the lease since.
    Given placement engines "e1" for models "draft" that check fencing
    And a placement host "a" that holds the lease
    And placement engine "e1" has accepted fence 1000000
    When the placement manifest changes to version "2"
    And 1 placement seconds pass
    Then placement host "a" logged "lease-lost"

  Scenario: A placement host that acquires the lease again drops its old state
    The holder is paused during a drain. A successor cancels the drain, so the
    engine gets new work again, and then the successor dies. With its old
    state the first holder would at once unload a model that is in use.
    Given placement engines "e1" for models "draft" that ignore fencing
    And a placement host "a" that holds the lease
    And a placement follower "b"
    And placement engine "e1" holds "draft" and has 0 calls in flight
    When the placement manifest changes to version "2" at "a" alone
    And 2 placement seconds pass
    And placement host "a" is paused for 20 seconds
    Then placement engine "e1" holds "draft:1" and gets new work
    When placement host "b" dies
    And 40 placement seconds pass
    Then placement engine "e1" holds "draft:2" and gets new work
    And 1 placement engine got no new work before its swap
