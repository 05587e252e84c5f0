Feature: rate limits for cold upstreams, shared by all hosts

  Scenario: An upstream reports that it is cold, and becomes warm
    It has just started and accepts ten requests a second. Its entry states for
    how long, counted from the arrival of the entry.
    Given a registry whose upstream "a" reports that it is cold for 3.0 seconds
    Then "a" counts as cold for the next 2.9 seconds and not after 3.1
    When "a" reports that it is warm
    Then "a" counts as warm
    When "a" reports that it is cold for 2.0 seconds without a restart
    Then "a" counts as cold for the next 1.9 seconds and not after 2.1

  Scenario: A request goes to a warm upstream when the cold one's share is used
    Given upstreams that accept 2 requests a second while cold, "i0" of them cold
    And a host that is the only one
    Then of 6 requests within one second 2 went to "i0"

  Scenario: All upstreams are cold and their shares are used
    Sending more would crash the upstreams, which would be cold again. Callers
    are refused at once with the time until a share is free.
    Given upstreams that accept 1 requests a second while cold, "i0,i1,i2" of them cold
    And a host that is the only one
    When 4 requests arrive within one second
    Then the last of them is refused as "cold" with retry advice of 0.5 to 1.4 seconds
    And 3 forwarded sends were made in all

  Scenario: A host without the list of hosts sends nothing to a cold upstream
    It has just started and has not read the list of hosts. If it assumed that
    it is the only one, each of sixty hosts would use the full rate.
    Given upstreams that accept 10 requests a second while cold, "i0" of them cold
    Then of 6 requests within one second 0 went to "i0"

  Scenario Outline: <hosts> hosts send to a domain of idle cold upstreams
    A domain returns. All hosts would prefer its upstreams at once because they
    are idle and all others are not. An upstream that gets well over ten
    requests a second crashes, and is cold again.
    Given <hosts> hosts in 4 domains, and 8 upstreams that accept 10 requests a second
    When every host sends each of them all that its share allows for 5 seconds
    Then no upstream got more than 10 requests in any second
    And each upstream got at least 25 requests

    Examples:
      | hosts |
      | 9     |
      | 60    |
      | 195   |

  Scenario: The fleet is partitioned into two halves
    The hosts of each half assume that all others are gone. Upstreams withstand
    half as much again as their rate, plus five requests.
    Given 60 hosts in 4 domains, and 8 upstreams that accept 10 requests a second
    And each half of the hosts knows only its own members
    When every host sends each of them all that its share allows for 5 seconds
    Then no upstream got more than 20 requests in any second
