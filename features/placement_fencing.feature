Feature: placement fencing: an old holder's order changes nothing

  Scenario Outline: A placement holder that is paused sends an order too late
    The holder is suspended between its last look and its order, past its
    term. A successor acts. Then the old holder comes back and goes on where
    it was: engines would be set to an end that nobody wants any more. One
    guard alone holds it back; with none the order gets through.
    Given placement engines "e1" for models "draft" that <kind> fencing
    And a placement host "a" that holds the lease
    And a placement follower "b"
    And placement host "a" has its term measured by the <clock> clock
    And placement host "a" works without "<without>"
    And placement engine "e1" holds "draft" and has 0 calls in flight
    When placement host "a" is paused at its order, and "b" takes over
    And placement host "a" goes on
    Then placement engines took <orders> orders of host "a"

    Examples: both kinds with all guards
      | kind   | clock | without | orders |
      | check  | boot  | nothing | 0      |
      | ignore | boot  | nothing | 0      |

    Examples: engines that check
      | kind  | clock     | without | orders |
      | check | boot      | claims  | 0      |
      | check | monotonic | nothing | 0      |
      | check | monotonic | claims  | 1      |

    Examples: engines that ignore
      | kind   | clock     | without | orders |
      | ignore | boot      | intents | 0      |
      | ignore | monotonic | nothing | 0      |
      | ignore | monotonic | intents | 1      |

  Scenario: A placement order that is late on its way is refused
    The order left in time, but the network held it until a successor had
    acted. No check at the sender can help; the engine's own does.
    Given placement engines "e1" for models "draft" that check fencing
    And a placement host "a" that holds the lease
    And a placement follower "b"
    When an order of placement host "a" is held on its way, and "b" takes over
    And the held placement order arrives
    Then placement engine "e1" refused 1 orders

  Scenario: A placement order that is late on its way is corrected
    As before, but the engine takes orders from anyone. The late order sets it
    back to the old version. The successor reads that back and orders anew.
    Given placement engines "e1" for models "draft" that ignore fencing
    And a placement host "a" that holds the lease
    And a placement follower "b"
    When an order of placement host "a" is held on its way, and "b" takes over
    And the placement manifest goes to version "2" at "b" alone
    And 20 placement seconds pass
    Then placement engine "e1" holds "draft:2" and gets new work
    When the held placement order arrives
    Then placement engine "e1" is to hold "draft:1"
    When 30 placement seconds pass
    Then placement engine "e1" holds "draft:2" and gets new work

  Scenario: A placement host that sees a higher fence steps down
    An engine answers with a fencing number above the holder's own: another
    host has the lease, whatever this one thinks.
    Given placement engines "e1" for models "draft" that check fencing
    And a placement host "a" that holds the lease
    And placement engine "e1" has taken fence 1000000
    When the placement manifest goes to version "2"
    And 1 placement seconds pass
    Then placement host "a" logged "lease-lost"

  Scenario: A placement host that holds the lease again starts anew
    The holder is paused in the middle of a drain. A successor calls the drain
    off, new work goes there again, and then the successor dies. By what it
    knew, the first holder would unload at once a model that is in use.
    Given placement engines "e1" for models "draft" that ignore fencing
    And a placement host "a" that holds the lease
    And a placement follower "b"
    And placement engine "e1" holds "draft" and has 0 calls in flight
    When the placement manifest goes to version "2" at "a" alone
    And 2 placement seconds pass
    And placement host "a" is paused for 20 seconds
    Then placement engine "e1" holds "draft:1" and gets new work
    When placement host "b" dies
    And 40 placement seconds pass
    Then placement engine "e1" holds "draft:2" and gets new work
    And 1 placement engine got no new work before its swap
