Feature: fleet configuration: in force everywhere, never back

  Scenario: An applied configuration is in force at all fleet hosts within 1 s
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    When the next fleet configuration is applied
    Then all fleet hosts have version 2 within 1 seconds

  Scenario: A domain cut from the platform learns a configuration from peers
    The way from one domain to the platform is cut. Its hosts serve, but would
    go on with the old configuration for as long as the cut lasts.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from the platform
    When the next fleet configuration is applied
    Then all fleet hosts have version 2 within 4 seconds

  Scenario: Without the relay a cut fleet domain stays behind
    The control of the scenario above: the same cut, but no host asks a peer
    for content. It shows that the relay is what carries the configuration.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from the platform
    And no fleet host asks its peers for a configuration
    When the next fleet configuration is applied
    And 30 fleet seconds pass
    Then the fleet hosts of domain "a" have version 1
    And the fleet hosts of domain "b" have version 2

  Scenario: A domain cut from its peers learns a configuration by itself
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from its peers
    When the next fleet configuration is applied
    Then all fleet hosts have version 2 within 4 seconds

  Scenario: A fleet domain cut from all keeps what it has and catches up
    A domain is cut from the platform and from the others. It must go on with
    the configuration that it has, and learn the new one when a way is back.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from the platform
    And domain "a" of the fleet is cut from its peers
    When the next fleet configuration is applied
    And 60 fleet seconds pass
    Then the fleet hosts of domain "a" have version 1
    And the fleet hosts of domain "a" serve
    When domain "a" of the fleet reaches its peers again
    Then all fleet hosts have version 2 within 15 seconds

  Scenario: Of two racing appliers of a fleet configuration one wins
    Two build runs apply changes reviewed against the same version. Both in
    force one after the other would undo a reviewed change without a word.
    Given a fleet of 3 hosts over 4 domains with 4 upstreams
    When two fleet configurations reviewed against version 1 are applied
    Then one of the fleet appliers is told "Accepted" and one "RaceLost"
    And all fleet hosts have version 2 within 1 seconds

  Scenario Outline: A lost answer of a fleet apply is settled
    The write takes effect, or not, and its answer is lost. Told that it
    failed, the operator would apply again, over a change that is in force.
    Given a fleet of 3 hosts over 4 domains with 4 upstreams
    And the next <lost> of a fleet apply is lost
    When the next fleet configuration is applied
    And 5 fleet seconds pass
    Then the fleet applier is told "Accepted"
    And all fleet hosts have version 2 within 1 seconds

    Examples:
      | lost    |
      | answer  |
      | request |

  Scenario: A fleet apply that was replaced before it was settled says so
    The write takes effect, its answer is lost, and before it is read back
    another operator has read it and applied the next change.
    Given a fleet of 3 hosts over 4 domains with 4 upstreams
    And the next answer of a fleet apply is lost
    When the next fleet configuration is applied and another right after it
    Then the first fleet applier is told "Replaced"

  Scenario: A fleet apply whose write surely lost says so
    Given a fleet of 3 hosts over 4 domains with 4 upstreams
    And the next request of a fleet apply is lost
    When the next fleet configuration is applied and another right after it
    Then the first fleet applier is told "RaceLost"

  Scenario: The platform is out while every fleet host is restarted
    The object API is down for an hour, and meanwhile all hosts are replaced
    one by one. A new one that waited for the platform would serve nothing.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    When the fleet's platform is down
    And every fleet host leaves and starts anew, one by one
    Then all fleet hosts have version 1 within 1 seconds
    When the fleet's platform is back
    And the next fleet configuration is applied
    Then all fleet hosts have version 2 within 10 seconds

  Scenario: Fleet watches that silently stop hold no configuration back
    Something between hosts and platform has lost track of the waiting
    watches; they are never answered. New reads would work.
    Given a fleet of 3 hosts over 4 domains with 4 upstreams
    And the fleet's watches fall silent for 9 seconds
    When the next fleet configuration is applied
    Then all fleet hosts have version 2 within 30 seconds

  Scenario: Old and mixed news never take a fleet host back
    Reads, watches, lists and peers bring versions late, twice and in any
    order. The host's version may only ever rise.
    Then in 200 random orders of 6 versions a fleet host never goes back

  Scenario: A fleet peer that hands over garbled content is passed by
    One peer has a fault and hands over content that does not fit its digest.
    The host must take nothing from it, and ask another.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from the platform
    And the fleet hosts of domain "b" hand over garbled configurations
    When the next fleet configuration is applied
    Then all fleet hosts have version 2 within 4 seconds
    And no fleet host has in force what was not applied

  Scenario: A version that does not validate is asked for once
    A newer release has applied what this one can't read. The hosts stay at
    the version before, and don't ask each other for it again and again.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    When a fleet configuration is written that only host "b-1" can read
    And 60 fleet seconds pass
    Then fleet host "b-1" alone has version 2
    And fleet hosts asked for configurations at most 40 times

  Scenario: The fleet tells who has which version
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from the platform
    And no fleet host asks its peers for a configuration
    When the next fleet configuration is applied
    And 5 fleet seconds pass
    Then fleet host "b-1" says that hosts "a-0, a-4, a-8" lack version 2
    When domain "a" of the fleet reaches the platform again
    And 30 fleet seconds pass
    Then fleet host "b-1" says that no host lacks version 2

  Scenario: A small change of a large fleet manifest travels in few bytes
    Given a fleet manifest of 1400 teams
    Then changing one weight hands over less than 300 bytes to a peer that has the version before
    And a peer without a version gets the whole manifest

  Scenario: The links of a fleet are bounded and connect it
    Then fleets of these sizes are connected with at most this many links
      | hosts | domains | most |
      | 3     | 4       | 8    |
      | 9     | 4       | 14   |
      | 36    | 4       | 14   |
      | 72    | 8       | 20   |
      | 340   | 8       | 16   |
    And they stay connected when any single host is gone
    And 6 fleet hosts that rendezvous alone leaves in two parts are connected

  Scenario: The platform's share of a fleet's calls does not grow with it
    Given a fleet of 12 hosts over 4 domains with 4 upstreams
    When the fleet's platform calls are counted for 60 seconds
    And the fleet is one of 24 hosts instead
    And the fleet's platform calls are counted for 60 seconds
    Then the watches of the larger fleet are at most 1.5 times as many
