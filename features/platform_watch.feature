Feature: platform watch: gaps, lost responses, stale changes and outages

  Background:
    Given a platform watch on a store with the manifest of "first"

  Scenario: A platform watch reports each change once
    When the manifest of "second" is put on the watched platform store
    And 1 platform seconds pass
    Then the platform watch reported the writers "first, second"

  Scenario: A platform watch without a response is sent again
    A middlebox between host and store has dropped the connection state: neither
    a response nor an error arrives. Without a timeout the host would keep its
    old configuration forever.
    Given watch calls of the platform store get no response
    When the manifest of "second" is put on the watched platform store
    And 11 platform seconds pass
    And watch calls of the platform store work again
    And 2 platform seconds pass
    Then the platform watch reported the writers "first, second"
    And the platform client logged "watch-silent" once

  Scenario: A list detects changes that a platform watch does not report
    The store has lost the subscription: each call is held and then returns no
    changes. Only a list of the objects detects this.
    Given watch calls of the platform store report no changes
    When the manifest of "second" is put on the watched platform store
    And 91 platform seconds pass
    Then the platform watch reported the writers "first, second"

  Scenario: A platform watch beyond a compaction lists and finds deletions
    While the host can't reach the store, one object is deleted, another one is
    written, and the store compacts its changes, so that the revision of the
    host's watch is no longer available.
    Given the watched platform store has an extra object
    When the platform store is down for 30 seconds and compacts changes
    And 10 platform seconds pass
    Then the platform watch reported the writers "first, extra, second, gone"
    And the platform client logged "watch-listed-again" once

  Scenario: Old events of a platform watch are not reported again
    A lagging replica answers a watch with changes that were already reported.
    Reporting them again would revert the configuration to an older one.
    When the manifest of "second" is put on the watched platform store
    And 1 platform seconds pass
    And the next 3 platform watches are answered with old events
    And 20 platform seconds pass
    Then the platform watch reported the writers "first, second"

  Scenario: An old list of a platform watch deletes nothing
    The periodic list is answered by a replica that lacks the newest object.
    If the list were trusted, that object would be reported as deleted.
    Given a stale replica of the watched platform store
    And the watched platform store has an extra object
    When the replica answers the platform lists for 100 seconds
    Then the platform watch reported the writers "first, extra"

  Scenario: An old list of a platform watch restores nothing
    An object is deleted, and a full list has confirmed it. Then a replica that
    lags by minutes answers the next list, which still contains the object.
    Given a stale replica of the watched platform store
    And the platform replica and the watched store have an extra object
    When the extra object is deleted from the watched platform store
    And 100 platform seconds pass
    And the replica answers the platform lists for 100 seconds
    Then the platform watch reported the writers "first, extra, gone"

  Scenario: A platform watch survives an outage of minutes
    When the platform store is down for 300 seconds
    And the manifest of "second" is put on the watched platform store
    And 6 platform seconds pass
    Then the platform watch reported the writers "first, second"
    And the watched platform store received at most 200 calls

  Scenario: A platform watch continues after an error of its callback
    The callback has a bug that one change triggers. The watch must not end
    because of it, or later changes would be missed.
    Given the callback of the platform watch fails on "second"
    When the manifest of "second" is put on the watched platform store
    And 1 platform seconds pass
    And the manifest of "third" is put on the watched platform store
    And 1 platform seconds pass
    Then the platform watch reported the writers "first, third"
    And the platform client logged "watch-callback-failed" once

  Scenario: Platform watches of many hosts are sent again spread over time
    One change completes the watches of all hosts at the same time. If all hosts
    called again immediately, each change would cause a burst of calls.
    Given 200 further platform watches
    When the manifest of "second" is put on the watched platform store
    Then no interval of 10 milliseconds has more than 30 platform watches

  Scenario: A stopped platform watch reports and sends nothing more
    When the platform watch is stopped
    And the manifest of "second" is put on the watched platform store
    And 100 platform seconds pass
    Then the platform watch reported the writers "first"
    And no platform call is pending
