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

  Scenario Outline: What hosts had written is written again: <what>
    Nobody else writes it, and a host that starts later knows the store alone.
    Given 9 hosts in 4 failure domains and a store that states its era
    And hosts have written <what>
    When the store returns to a copy that has nothing of hosts
    And 6 seconds pass after the return
    Then the store has <what> again

    Examples:
      | what                   |
      | the entries of hosts   |
      | the key that they share |
      | a verdict              |
      | a record of versions   |

  Scenario: A verdict that the copy lacks is not taken for one that an operator has lifted
    Given 9 hosts in 4 failure domains and a store that states its era
    And hosts have written a verdict
    When the store returns to a copy that has nothing of hosts
    Then all hosts hold the verdict at every moment of the next 6 seconds

  Scenario: A verdict that an operator has lifted stays lifted though the copy has it
    Given 9 hosts in 4 failure domains and a store that states its era
    And hosts have written a verdict
    When an operator lifts it, and the store returns to before
    And 6 seconds pass after the return
    Then no host holds the verdict, and the store has none

  Scenario: Hosts keep their peers while the copy lacks their entries
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store returns to a copy that has nothing of hosts
    Then all hosts know each other at every moment of the next 6 seconds

  Scenario: A host that has left is not one of the hosts again
    Given 9 hosts in 4 failure domains and a store that states its era
    When a host leaves, and the store returns to before
    And 6 seconds pass after the return
    Then no host knows the one that left, and the store has no entry of it

  Scenario: A host that starts while the store lacks the key joins the others
    It draws a key of its own and would stay outside.
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store returns to a copy that has nothing of hosts
    And a host starts 0.0 seconds later
    And 12 seconds pass after the return
    Then the hosts share one key, and the new host is linked to others

  Scenario Outline: The key is written again though <fault>
    Guards against writers that give up: hosts that start later draw another key.
    Given 9 hosts in 4 failure domains and a store that states its era
    And hosts have written the key that they share
    When the store returns to a copy that has nothing of hosts
    And <fault> once they know it
    And 16 seconds pass after the return
    Then the store has the key that they share again

    Examples:
      | fault                                          |
      | the first three writers are refused for good   |
      | the first three writers end                    |
      | all hosts are refused for 16 seconds           |

  Scenario: A host with a key of its own joins the others though it is refused for a time
    Guards against a host that stays outside after one failed read.
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store returns to a copy that has nothing of hosts
    And a host starts 0.0 seconds later
    And the new host is refused from 1.5 to 6.5 seconds after that
    And 8 seconds pass after the return
    Then the hosts share one key, and the new host is linked to others

  Scenario: Hosts that start between two returns yield to the key of the others
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store returns to a copy that has nothing of hosts
    And 3 hosts start, and the store returns once more a second later
    And 15 seconds pass after the return
    Then the hosts share one key, and each is linked to others

  Scenario: A host that starts in the return takes no answer of the store for a proof
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store loses 3 changes in 1.5 seconds, written again slowly
    And all hosts are killed and start again
    Then no host trusts keys with an old version in the next 6 seconds

  Scenario: A version that no host has read before the store lost it
    A key that it revokes works for 5 s after its acknowledgement, and no longer.
    Given 9 hosts in 4 failure domains and a store that states its era
    When hosts lose the store, and 0.5 seconds later a version is written
    And the store loses it in 4 seconds, written again slowly
    Then no host trusts keys with it 5 seconds after its acknowledgement

  Scenario: An entry of a host that was acknowledged and lost before any host read it
    Given 9 hosts in 4 failure domains and a store that states its era
    When a host registers, and the store returns to before at once
    And 6 seconds pass after the return
    Then the store has the entries of hosts again

  Scenario: A host that starts long after the return trusts keys at once
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store loses 3 changes in 1.5 seconds, written again early
    And 10 seconds pass after the return
    And all hosts are killed and start again
    Then all hosts trust keys within 2.0 seconds

  Scenario Outline: A drained domain stays drained while the copy lacks its entry: written again <rewriting>
    Given 9 hosts in 4 failure domains and a store that states its era
    When the store forgets in 1.5 seconds that a domain is drained, written again <rewriting>
    Then no host sends to the domain at any moment of the next 8 seconds

    Examples:
      | rewriting |
      | early     |
      | slowly    |
      | never     |

  Scenario: A domain that was taken back is used again though the copy had it drained
    Given 9 hosts in 4 failure domains and a store that states its era
    When a drained domain is taken back, and the store returns to before
    And 4 seconds pass after the return
    Then all hosts send to the upstreams that don't leave

  Scenario: After a return few hosts of each domain read all from the store
    Links have 5 to 10 Mbit/s, and 350 kB a host are many with 340 hosts.
    Given 30 hosts in 3 failure domains and a store that states its era
    When the store loses 3 changes in 2.5 seconds, written again early
    And 6 seconds pass after the return
    Then at most 9 hosts have read the configuration in full, and the upstreams

  Scenario Outline: After a return few hosts of each domain read all from the store, away for <seconds> s
    Hosts that still follow a reader leave it, and hosts that don't probe the store by a full read.
    Given 30 hosts in 3 failure domains and a store that states its era
    When the store loses 3 changes in <seconds> seconds, written again early
    And 6 seconds pass after the return
    Then at most 9 hosts have read the configuration in full, and the upstreams

    Examples:
      | seconds |
      | 0.5     |
      | 1.5     |
      | 4.5     |

  Scenario Outline: After a return hosts whose readers <fault> read the store themselves in time
    They wait for readers, which read the store first.
    Given 30 hosts in 3 failure domains and a store that states its era
    When the readers <fault> from the middle of 2.5 seconds in which the store loses 3 changes
    And 2 versions are written after it
    And 2 seconds pass after the return
    Then all hosts that the store answers have the newest version in force

    Examples:
      | fault                |
      | stand still          |
      | don't reach the store |

  Scenario: A follower that is told a version of the copy takes no answer of the store for a proof
    Its last own read is of before the return, so the version looks written since.
    Given a host that has read the store itself
    When the store returns, and the host's reader tells it a newer version of the copy
    Then an answer of the store proves nothing to the host
