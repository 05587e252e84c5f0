Feature: a store that comes back from an older copy of itself

  Scenario Outline: A version written after the return of the store is in force in time: <lost> lost, <after> after
    Revisions are given out again, and hosts have seen these numbers before.
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store loses <lost> changes in 1.5 seconds, written again <rewriting>
    And <after> versions are written after it
    And 2 seconds pass after the return
    Then all hosts have the newest version in force

    Examples:
      | lost | after | rewriting |
      | 1    | 1     | early     |
      | 6    | 4     | early     |
      | 12   | 1     | early     |
      | 6    | 4     | late      |

  Scenario Outline: An upstream that leaves after the return of the store gets nothing more: seed <seed>, <lost> lost, <after> after
    Given <hosts> hosts in 3 failure domains and a store that states its era, seed <seed>
    When the store loses <lost> changes in 1.5 seconds, written again <rewriting>
    And <after> upstreams say that they leave after it
    And 2 seconds pass after the return
    Then all hosts send to the upstreams that don't leave

    Examples:
      | hosts | seed | lost | after | rewriting |
      | 6     | 2    | 12   | 2     | early     |
      | 9     | 1    | 6    | 2     | late      |

  Scenario: An upstream that has said it leaves gets nothing more while the copy shows it as ready
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store forgets in 1.5 seconds that an upstream leaves, which is never written again
    Then no host sends to it at any moment of the next 8 seconds
