Feature: platform watch: gaps, silence, old news and outages

  Background:
    Given a platform watch on a store with the manifest of "first"

  Scenario: A platform watch shows each change once
    When the manifest of "second" is put on the watched platform store
    And 1 platform seconds pass
    Then the platform watch showed the writers "first, second"

  Scenario: A platform watch that silently stops is armed again
    Something between host and store has lost track of the connection: the
    answer never comes, and neither does an error. Without a limit of its own
    the host would keep its old configuration for good.
    Given watches of the platform store fall silent
    When the manifest of "second" is put on the watched platform store
    And 11 platform seconds pass
    And watches of the platform store work again
    And 2 platform seconds pass
    Then the platform watch showed the writers "first, second"
    And the platform client logged "watch-silent" once

  Scenario: A platform watch that answers but shows nothing is found by a list
    The store has lost the subscription: each call is held and answered that
    nothing has changed. Only a look at the objects themselves can tell.
    Given watches of the platform store go deaf
    When the manifest of "second" is put on the watched platform store
    And 91 platform seconds pass
    Then the platform watch showed the writers "first, second"

  Scenario: A platform watch beyond a compaction lists and finds deletions
    While the host can't reach the store, one object is deleted and one is
    written, and the store forgets its changes. The host's place is gone.
    Given the watched platform store has an extra object
    When the platform store is down for 30 seconds and compacts changes
    And 10 platform seconds pass
    Then the platform watch showed the writers "first, extra, second, gone"
    And the platform client logged "watch-listed-again" once

  Scenario: Old events of a platform watch are not shown again
    A lagging replica answers a watch with changes long known. Shown again,
    they would take the configuration back to an older one.
    When the manifest of "second" is put on the watched platform store
    And 1 platform seconds pass
    And the next 3 platform watches are answered with old events
    And 20 platform seconds pass
    Then the platform watch showed the writers "first, second"

  Scenario: An old list of a platform watch deletes nothing
    The periodic list is answered by a replica that does not know the newest
    object yet. Taken at its word, the list would delete that object.
    Given a replica of the watched platform store that stands still
    And the watched platform store has an extra object
    When the platform lists come from the replica for 100 seconds
    Then the platform watch showed the writers "first, extra"

  Scenario: An old list of a platform watch brings nothing back
    An object is deleted, and a whole list has confirmed it. Then a replica
    that lags by minutes answers the next list and still shows the object.
    Given a replica of the watched platform store that stands still
    And the platform replica and the watched store have an extra object
    When the extra object is deleted from the watched platform store
    And 100 platform seconds pass
    And the platform lists come from the replica for 100 seconds
    Then the platform watch showed the writers "first, extra, gone"

  Scenario: A platform watch survives an outage of minutes
    When the platform store is down for 300 seconds
    And the manifest of "second" is put on the watched platform store
    And 6 platform seconds pass
    Then the platform watch showed the writers "first, second"
    And the watched platform store saw at most 200 calls

  Scenario: A platform watch outlives an error of its taker
    The part that takes the changes has a bug that one change brings out. The
    watch must not end by it, or later changes would be missed.
    Given the taker of the platform watch fails on "second"
    When the manifest of "second" is put on the watched platform store
    And 1 platform seconds pass
    And the manifest of "third" is put on the watched platform store
    And 1 platform seconds pass
    Then the platform watch showed the writers "first, third"
    And the platform client logged "watch-callback-failed" once

  Scenario: Platform watches of many hosts come back spread over time
    One change answers the watches of all hosts at one instant. If they all
    called again at once, each change would be a burst at the store.
    Given 200 further platform watches
    When the manifest of "second" is put on the watched platform store
    Then no platform tick of 10 milliseconds sees more than 30 watches

  Scenario: A stopped platform watch shows and asks nothing more
    When the platform watch is stopped
    And the manifest of "second" is put on the watched platform store
    And 100 platform seconds pass
    Then the platform watch showed the writers "first"
    And no platform call is waiting on the clock
