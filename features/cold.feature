Feature: upstreams that are cold bear few requests, from all hosts together

  Scenario: An upstream says that it is cold, and turns warm
    It has just started and bears ten requests a second. Its entry says for how
    long, counted from when the entry came.
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
    Sent all the same, they would crash and be cold again. Callers are told the
    truth at once, and come back when there is room.
    Given upstreams that accept 1 requests a second while cold, "i0,i1,i2" of them cold
    And a host that is the only one
    When 4 requests arrive within one second
    Then the last of them is refused as "cold" with retry advice of 0.5 to 1.4 seconds
    And 3 forwarded sends were made in all

  Scenario: A host that knows no other one sends nothing to a cold upstream
    It has just started and has not read the list of hosts. Taking itself for the
    only one, each of sixty would use the whole rate.
    Given upstreams that accept 10 requests a second while cold, "i0" of them cold
    Then of 6 requests within one second 0 went to "i0"

  Scenario Outline: <hosts> hosts find a domain of cold upstreams empty
    A domain comes back. All hosts would send there at once what it draws: its
    upstreams are empty and all others are not. One that gets well over ten
    requests a second crashes, and is cold once more.
    Given <hosts> hosts in 4 domains, and 8 upstreams that accept 10 requests a second
    When every host sends each of them all that its share allows for 5 seconds
    Then no upstream got more than 10 requests in any second
    And each upstream got at least 25 requests

    Examples:
      | hosts |
      | 9     |
      | 60    |
      | 195   |

  Scenario: Two halves of the fleet know nothing of each other
    The hosts of either half take all others for gone. The bound that upstreams
    bear is half as much again and five more.
    Given 60 hosts in 4 domains, and 8 upstreams that accept 10 requests a second
    And each half of the hosts knows only its own members
    When every host sends each of them all that its share allows for 5 seconds
    Then no upstream got more than 20 requests in any second
