Feature: fleet configuration: in force at all hosts, never reverted

  Scenario: An applied configuration is in force at all fleet hosts within 1 s
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    When the next fleet configuration is applied
    Then all fleet hosts have version 2 within 1 seconds

  Scenario: A domain cut from the platform gets a configuration from peers
    The connection from one domain to the platform is cut. Its hosts serve, but
    would use the old configuration for as long as the cut lasts.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from the platform
    When the next fleet configuration is applied
    Then all fleet hosts have version 2 within 4 seconds

  Scenario: Without the relay a cut fleet domain keeps the old version
    Control of the scenario above: the same cut, but no host requests the
    configuration from a peer. It shows that the relay distributes it.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from the platform
    And no fleet host asks its peers for a configuration
    When the next fleet configuration is applied
    And 30 fleet seconds pass
    Then the fleet hosts of domain "a" have version 1
    And the fleet hosts of domain "b" have version 2

  Scenario: A domain cut from its peers reads a configuration from the platform
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from its peers
    When the next fleet configuration is applied
    Then all fleet hosts have version 2 within 4 seconds

  Scenario: A fleet domain cut from platform and peers keeps its version and catches up
    A domain is cut from the platform and from the others. It must continue with
    its configuration, and get the new one when a connection is restored.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from the platform
    And domain "a" of the fleet is cut from its peers
    When the next fleet configuration is applied
    And 60 fleet seconds pass
    Then the fleet hosts of domain "a" have version 1
    And the fleet hosts of domain "a" serve
    When domain "a" of the fleet reaches its peers again
    Then all fleet hosts have version 2 within 15 seconds

  Scenario: Of two racing appliers of a fleet configuration one succeeds
    Two build runs apply changes reviewed against the same version. If both were
    written, the second would silently undo the first.
    Given a fleet of 3 hosts over 4 domains with 4 upstreams
    When two fleet configurations reviewed against version 1 are applied
    Then one of the fleet appliers gets "Accepted" and one "RaceLost"
    And all fleet hosts have version 2 within 1 seconds

  Scenario Outline: A fleet apply without an answer determines its outcome
    The write takes effect, or not, and its answer is lost. If a failure were
    reported, the operator would apply again over a change that is in force.
    Given a fleet of 3 hosts over 4 domains with 4 upstreams
    And the next <lost> of a fleet apply is lost
    When the next fleet configuration is applied
    And 5 fleet seconds pass
    Then the fleet applier gets "Accepted"
    And all fleet hosts have version 2 within 1 seconds

    Examples:
      | lost    |
      | answer  |
      | request |

  Scenario: A fleet apply that was replaced before it was confirmed reports this
    The write takes effect, its answer is lost, and before it is read back
    another operator has read it and applied the next change.
    Given a fleet of 3 hosts over 4 domains with 4 upstreams
    And the next answer of a fleet apply is lost
    When the next fleet configuration is applied and another right after it
    Then the first fleet applier gets "Replaced"

  Scenario: A fleet apply whose write certainly lost the race reports this
    Given a fleet of 3 hosts over 4 domains with 4 upstreams
    And the next request of a fleet apply is lost
    When the next fleet configuration is applied and another right after it
    Then the first fleet applier gets "RaceLost"

  Scenario: The platform is down while every fleet host is restarted
    The object API is down for an hour, and meanwhile all hosts are replaced
    one by one. A new host that waited for the platform would serve nothing.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    When the fleet's platform is down
    And every fleet host leaves and restarts, one by one
    Then all fleet hosts have version 1 within 1 seconds
    When the fleet's platform is back
    And the next fleet configuration is applied
    Then all fleet hosts have version 2 within 10 seconds

  Scenario: Fleet watches that silently stop do not delay a configuration for long
    A middlebox between hosts and platform has dropped the state of the waiting
    watches; they are never answered. New reads would work.
    Given a fleet of 3 hosts over 4 domains with 4 upstreams
    And the fleet's watches fall silent for 9 seconds
    When the next fleet configuration is applied
    Then all fleet hosts have version 2 within 30 seconds

  Scenario: Late and reordered updates never revert a fleet host
    Versions arrive from reads, watches, lists and peers late, twice and in any
    order. The host's version may only rise.
    Then in 200 random orders of 6 versions a fleet host never returns to an older version

  Scenario: A corrupt configuration from a fleet peer is rejected
    A faulty peer sends a configuration that does not match its digest. The
    host must reject it and ask another peer.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from the platform
    And the fleet hosts of domain "b" send corrupt configurations
    When the next fleet configuration is applied
    Then all fleet hosts have version 2 within 4 seconds
    And all fleet hosts have the applied configuration in force

  Scenario: A version that does not validate is requested once
    A newer release has applied a configuration that this one can't read. The
    hosts keep the previous version and don't request the new one repeatedly.
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    When a fleet configuration is written that only host "b-1" can read
    And 60 fleet seconds pass
    Then fleet host "b-1" alone has version 2
    And fleet hosts requested configurations at most 40 times

  Scenario: A fleet host reports which hosts lack a version
    Given a fleet of 9 hosts over 4 domains with 28 upstreams
    And domain "a" of the fleet is cut from the platform
    And no fleet host asks its peers for a configuration
    When the next fleet configuration is applied
    And 5 fleet seconds pass
    Then fleet host "b-1" reports that hosts "a-0, a-4, a-8" lack version 2
    When domain "a" of the fleet reaches the platform again
    And 30 fleet seconds pass
    Then fleet host "b-1" reports that no host lacks version 2

  Scenario: A small change of a large fleet manifest is sent in few bytes
    Given a fleet manifest of 1400 teams
    Then changing one weight sends less than 300 bytes to a peer that has the previous version
    And a peer without a version gets the full manifest

  Scenario: The links of a fleet are bounded and connect all hosts
    Then fleets of these sizes are connected with at most this many links
      | hosts | domains | most |
      | 3     | 4       | 8    |
      | 9     | 4       | 14   |
      | 36    | 4       | 14   |
      | 72    | 8       | 20   |
      | 340   | 8       | 16   |
    And they stay connected when any single host is gone
    And 6 fleet hosts that rendezvous hashing alone partitions are connected

  Scenario: The number of platform calls does not grow with the fleet
    Given a fleet of 12 hosts over 4 domains with 4 upstreams
    When the fleet's platform calls are counted for 60 seconds
    And the fleet has 24 hosts instead
    And the fleet's platform calls are counted for 60 seconds
    Then the watches of the larger fleet are at most 1.5 times as many
