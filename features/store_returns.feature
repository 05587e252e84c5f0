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

  Scenario: A host that starts after the return learns which upstreams had said that they leave
    It knows the copy alone.
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store forgets in 1.5 seconds that an upstream leaves, which is never written again
    And a host starts 0.5 seconds later
    Then no host sends to it at any moment of the next 6 seconds, from 2 seconds on

  Scenario: An upstream that is gone and that the copy still shows gets nothing
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store forgets in 1.5 seconds that an upstream is gone, which is never written again
    Then no host sends to it at any moment of the next 8 seconds

  Scenario: An upstream that the copy shows for long is followed again
    Its entry had been removed though it was there, and it has nothing to write.
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store forgets in 1.5 seconds that an upstream is gone, which is never written again
    And 12 seconds pass after the return
    Then all hosts send to it

  Scenario: Upstreams that the copy lacks keep their work until they write again
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store forgets in 1.5 seconds 4 upstreams, which are written again late
    Then all hosts send to them at every moment of the next 6 seconds

  Scenario Outline: Upstreams that leave beside <fault>
    Given 9 hosts in 4 failure domains and a store that states its era
    When an upstream leaves, and <fault>
    Then no host sends to it at any moment of the next 8 seconds, from 2 seconds on

    Examples:
      | fault                             |
      | the store is only away            |
      | the store forgets its history     |
      | the store returns twice           |
      | the store returns to an old copy  |
