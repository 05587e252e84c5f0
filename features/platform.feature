Feature: platform client: writes, budget and brown-outs

  Scenario: A platform write whose response is lost is detected as applied
    An operator applies a manifest. The store applies it, but the response is
    lost. A blind retry would return a conflict, and the operator would see an
    error about a concurrent change.
    Given a platform store with the manifest of "first"
    And the platform store loses the next response
    When writer "second" puts the manifest over its version
    Then the platform write ends as "Written"
    And the platform store has the manifest of "second", written 2 times

  Scenario: A platform write whose request is lost is sent again
    The request is lost. For the writer this looks the same as a lost response,
    so it has to read back to find that nothing was applied.
    Given a platform store with the manifest of "first"
    And the platform store loses the next request
    When writer "second" puts the manifest over its version
    Then the platform write ends as "Written"
    And the platform store has the manifest of "second", written 2 times

  Scenario: A platform write that is applied late is not applied twice
    The store is slow: the writer times out, reads back the old version and
    sends the write again. Then the first request arrives. Both require the same
    version, so only one of them is applied.
    Given a platform store with the manifest of "first"
    And the platform store takes 6 seconds for each call
    When writer "second" starts to put the manifest over its version
    And the platform store answers immediately again after 1.9 seconds
    And 10 platform seconds pass
    Then the platform write ends as "Written"
    And the platform store has the manifest of "second", written 2 times

  Scenario: Of two concurrent platform writes with lost responses one succeeds
    Two build runs write over the same version at once, and both responses are
    lost. If each run took the newer version that it reads back for its own,
    both would report success and one change would be lost.
    Given a platform store with the manifest of "first"
    And the platform store loses the next 2 responses
    When writer "second" and writer "third" put the manifest over its version
    Then the racing platform writes end as "Written" and "Superseded"
    And the platform store has the manifest of "second", written 2 times

  Scenario: An overwritten platform write in doubt ends as superseded
    The response is lost, and another writer puts the next version before the
    read-back. The object that is read proves neither success nor failure.
    Given a platform store with the manifest of "first"
    And the platform store loses the next response
    When writer "second" puts the manifest and "third" overwrites it before the read-back
    Then the platform write ends as "Superseded"

  Scenario: A platform write in doubt is never reported as not applied
    The response is lost, then the store goes down. The write was applied, so a
    refused connection of the second attempt must not be reported as such.
    Given a platform store with the manifest of "first"
    And the platform store loses the next response
    When writer "second" puts the manifest and the store goes down
    Then the platform write ends as "InDoubt"

  Scenario: A platform write stays in doubt when the budget is exhausted
    The request is lost. The read shows that nothing was applied yet, but the
    budget has no call left for the second put. The first put may still be in
    transit, so the outcome can't be reported as not applied.
    Given a platform store with the manifest of "first"
    And the platform store loses the next request
    When writer "second" puts the manifest with a budget of 2 calls
    Then the platform write ends as "InDoubt"
    And the platform client logged "store-budget-refused" at least once

  Scenario: A platform store that is down receives few calls until it recovers
    The store is down for ten minutes while a host keeps requesting all its
    kinds fifty times per second. Such calls of all hosts would keep it down.
    Given a paced platform client
    When the platform store is down for 600 seconds with 50 calls per second
    Then the platform store received at most 1500 calls in that time
    And each platform call was answered immediately or within its timeout
    And the platform client logged "store-backing-off" once
    And 5 seconds after the platform store recovers each kind is served

  Scenario: A platform store that is slow for minutes receives few calls
    The store accepts every call and answers it after the client has timed out.
    Pending calls would accumulate in a store that can't process them.
    Given a paced platform client
    And the platform store takes 5 seconds for each call
    When the platform store is slow for 300 seconds with 50 calls per second
    Then the platform store had at most 5 calls in flight after 20 seconds
    And 5 seconds after the platform store recovers each kind is served

  Scenario: Paced platform clients do not retry at the same time
    Fifty hosts lose the store at the same time. With equal pauses all of them
    would retry at the same times and overload it again.
    Given 50 paced platform clients
    When the platform store is down for 60 seconds with 4 claims per second
    Then after 20 seconds no quarter of a second had 25 platform calls

  Scenario: Platform claims are sent while the budget of the rest is exhausted
    Status writes exceed the call budget of the host. A claim without a call
    left in the budget would refuse a caller although the store is healthy.
    Given a paced platform client of 20 calls per second and a burst of 10
    When "status" is called 100 and "claims" 8 times per second for 30 seconds
    Then platform calls of "claims" were all sent
    And the platform store received at most 610 calls in that time

  Scenario: Platform writes have a separate budget
    The object API accepts several times as many reads as writes. A host that
    writes as often as it may read would starve the writes of other hosts.
    Given a paced platform client of 100 calls and 5 writes per second
    When "claims" is called 50 and "leases" 1 times per second for 30 seconds
    Then the platform store received at most 158 calls in that time
    And a platform read is answered immediately

  Scenario: A flood of platform claims does not starve leases
    Claims alone demand more than the full budget for a long time. A lease
    whose renewals are never sent would be lost.
    Given a paced platform client of 40 calls per second and a burst of 10
    When "claims" is called 200 and "leases" 1 times per second for 30 seconds
    Then platform calls of "leases" were all sent
    And the platform store received at most 1210 calls in that time
