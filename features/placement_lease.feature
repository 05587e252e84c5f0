Feature: placement lease: one host at a time sends orders

  Scenario: Two placement hosts race for a free lease
    Two hosts start at the same instant, read that there is no lease, and both
    write it. If both succeeded, they would send conflicting orders to the
    same engines, and callers would wait for loads indefinitely.
    Given placement hosts "a, b" that start together
    And the placement store answers after 0.5 seconds
    When 40 placement seconds pass
    Then exactly 1 placement host holds the lease
    And the placement lease was never held by two hosts at once

  Scenario: A placement holder that dies is succeeded after term and margin
    The holder's process is killed and can't release the lease. No orders are
    sent in the domain until its term is certain to have ended.
    Given a placement holder "a" and a follower "b"
    When placement host "a" dies
    And 9 placement seconds pass
    Then exactly 0 placement hosts hold the lease
    When 10 placement seconds pass
    Then placement host "b" holds the lease with a higher fence than "a" had
    And the placement lease was never held by two hosts at once

  Scenario: A leaving placement holder is followed before its term ends
    Given a placement holder "a" and a follower "b"
    When placement host "a" leaves
    And 5 placement seconds pass
    Then placement host "b" holds the lease with a higher fence than "a" had

  Scenario: A deleted placement lease is not acquired while its holder acts
    An operator deletes the lease object. If an absent lease counted as free,
    it would be acquired at once, within the term of the old holder.
    Given a placement holder "a" and a follower "b"
    When the placement lease is deleted while "a" is cut off
    And 20 placement seconds pass
    Then placement host "b" holds the lease with a higher fence than "a" had
    And the placement lease was never held by two hosts at once

  Scenario: A lost answer to a placement renewal is resolved by a read
    The renewal is applied, but its answer is lost. A holder that assumed
    a failure would stop its orders; a second write would conflict with the
    first one.
    Given a placement holder "a" and a follower "b"
    When the answers of the next 2 placement writes are lost
    And 30 placement seconds pass
    Then placement host "a" still holds the lease with its fence

  Scenario: A placement renewal that stays in doubt is read before the next
    The renewal is applied, but the store becomes unreachable before it can be
    read back. A renewal conditional on the old version would conflict with
    the holder's own write, and the domain would have no holder.
    Given a placement holder "a" and a follower "b"
    When a placement renewal of "a" stays in doubt for 2 seconds
    And 6 placement seconds pass
    Then placement host "a" still holds the lease with its fence

  Scenario: A placement holder whose lease is deleted stops before its term ends
    Given a placement holder "a" and a follower "b"
    When the placement lease is deleted
    And 4 placement seconds pass
    Then exactly 0 placement hosts hold the lease
    When 20 placement seconds pass
    Then exactly 1 placement host holds the lease
    And the placement lease was never held by two hosts at once

  Scenario Outline: A placement term is counted from before the renewal is sent
    The answer to a renewal is lost, and the connection to the store breaks.
    Nine seconds later one read succeeds and shows that the renewal was
    applied. A term counted from then ends long after a successor's wait.
    Given a placement holder "a" and a follower "b"
    And placement terms count from the <moment>
    When the answer to a placement renewal of "a" is 8 seconds late
    And 6 placement seconds pass
    Then the placement lease was held by two hosts at once: <twice>

    Examples:
      | moment  | twice |
      | sending | no    |
      | answer  | yes   |

  Scenario Outline: The placement margin covers clocks of different rates
    The successor's clock runs fast. Without a margin its wait ends within the
    term of a holder that has just lost the connection to the store.
    Given placement leases with a margin of <margin> seconds
    And a placement holder "a" and a follower "b"
    And placement host "b" reads the lease every second, on a clock at rate 1.15
    When placement host "a" is cut off from the store
    And 30 placement seconds pass
    Then the placement lease was held by two hosts at once: <twice>

    Examples:
      | margin | twice |
      | 2      | no    |
      | 0      | yes   |

  Scenario: A placement holder that is paused beyond its term is succeeded
    The holder's host is suspended. No time passes on its monotonic clock, so
    by that clock the term would not have ended when the host resumes.
    Given a placement holder "a" and a follower "b"
    When placement host "a" is paused for 20 seconds
    Then placement host "b" holds the lease with a higher fence than "a" had
    And the placement lease was never held by two hosts at once

  Scenario: During an outage the placement holder stops when its term ends
    Given a placement holder "a" and a follower "b"
    When the placement store is down for 60 seconds
    Then exactly 0 placement hosts hold the lease
    When 20 placement seconds pass
    Then exactly 1 placement host holds the lease
    And the placement lease was never held by two hosts at once

  Scenario Outline: The store returns to a copy from before a placement lease was <what>
    Its holder believes that it holds it, and the store says otherwise. The
    fence that the next holder gets must never have been given before.
    Given the placement store returns later to now
    And a placement holder "a" and a follower "b"
    When <seconds> placement seconds pass
    And the placement store returns from its copy
    And 40 placement seconds pass
    Then exactly 1 placement host holds the lease
    And the placement lease was never held by two hosts at once

    Examples:
      | what         | seconds |
      | taken        | 1       |
      | renewed      | 7       |
      | held for long | 30     |

  Scenario: The store returns twice while a placement holder is cut off
    Given the placement store returns later to now
    And a placement holder "a" and a follower "b"
    When placement host "a" loses the store
    And the placement store returns from its copy
    And 3 placement seconds pass
    And the placement store returns from its copy
    And 40 placement seconds pass
    Then placement host "b" holds the lease with a higher fence than "a" had
    And the placement lease was never held by two hosts at once
