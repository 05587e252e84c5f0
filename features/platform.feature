Feature: platform client: writes, budget and brown-outs

  Scenario: A platform write whose answer is lost is found to be applied
    An operator applies a manifest. The store applies it, but its answer is
    lost on the way. Sending it blindly again would give a conflict, and the
    operator would be told that another change had won.
    Given a platform store with the manifest of "first"
    And the platform store loses the next answer
    When writer "second" puts the manifest over its version
    Then the platform write ends as "Written"
    And the platform store has the manifest of "second", written 2 times

  Scenario: A platform write that is lost before the store is sent again
    The request itself is lost. Its writer sees the same silence as if the
    answer had been, and has to find out that nothing was applied.
    Given a platform store with the manifest of "first"
    And the platform store loses the next request
    When writer "second" puts the manifest over its version
    Then the platform write ends as "Written"
    And the platform store has the manifest of "second", written 2 times

  Scenario: A platform write that is applied late is not applied twice
    The store is slow: the writer gives up, reads back, finds the old
    version, sends the write again. Then the first one arrives after all. Both are
    conditional on the same version, so only one of them counts.
    Given a platform store with the manifest of "first"
    And the platform store takes 6 seconds for each call
    When writer "second" starts to put the manifest over its version
    And the platform store answers at once again after 1.9 seconds
    And 10 platform seconds pass
    Then the platform write ends as "Written"
    And the platform store has the manifest of "second", written 2 times

  Scenario: Two racing platform writers with lost answers have one winner
    Two build runs apply over the same version at once, and both lose their
    answers. If each took the newer version that it reads for its own, both
    would report success and one change would be gone.
    Given a platform store with the manifest of "first"
    And the platform store loses the next 2 answers
    When writer "second" and writer "third" put the manifest over its version
    Then the racing platform writes end as "Written" and "Superseded"
    And the platform store has the manifest of "second", written 2 times

  Scenario: An overwritten platform write in doubt is not called lost or won
    The answer is lost, and before the writer reads back, another writer puts
    the next version. What stands there proves neither outcome.
    Given a platform store with the manifest of "first"
    And the platform store loses the next answer
    When writer "second" puts the manifest and "third" follows before it reads
    Then the platform write ends as "Superseded"

  Scenario: A platform write in doubt is never called not applied
    The answer is lost, then the store goes down. The write stands, so a
    refusal to connect on the second try must not read as not applied.
    Given a platform store with the manifest of "first"
    And the platform store loses the next answer
    When writer "second" puts the manifest and the store goes down
    Then the platform write ends as "InDoubt"

  Scenario: A platform write in doubt stays so when the budget is spent
    The request is lost. The read shows that nothing was applied yet, but the
    host's budget has no call left for the second put. The first may still be
    on its way: to say not applied would be a guess.
    Given a platform store with the manifest of "first"
    And the platform store loses the next request
    When writer "second" puts the manifest with a budget of 2 calls
    Then the platform write ends as "InDoubt"
    And the platform client logged "store-budget-refused" at least once

  Scenario: A platform store that is down sees few calls and is found again
    The store is down for ten minutes while a host goes on asking for all its
    kinds fifty times a second. All hosts that hammer it would keep it down.
    Given a paced platform client
    When the platform store is down for 600 seconds of 50 calls a second
    Then the platform store saw at most 1500 calls meanwhile
    And each platform call got its answer at once or within its timeout
    And the platform client logged "store-backing-off" once
    And 5 seconds after the platform store is back each kind is served

  Scenario: A platform store that is slow for minutes sees few calls
    Every call is taken and answered after the callers gave up. Waiting calls
    would pile up in a store that can't work them off.
    Given a paced platform client
    And the platform store takes 5 seconds for each call
    When the platform store is slow for 300 seconds of 50 calls a second
    Then the platform store had at most 5 calls in flight after 20 seconds
    And 5 seconds after the platform store is back each kind is served

  Scenario: Paced platform clients do not come back at one instant
    Fifty hosts have lost the store at one instant. With equal pauses all
    would come back in the same moments and push it down again.
    Given 50 paced platform clients
    When the platform store is down for 60 seconds of 4 claims a second
    Then no platform tick of a quarter second after 20 seconds saw 25 calls

  Scenario: Platform claims pass while the budget of the rest is spent
    Status writes flood the client beyond the host's budget. A claim that
    finds no call left would refuse a caller although the store is well.
    Given a paced platform client of 20 calls a second and a burst of 10
    When "status" asks 100 and "claims" 8 times a second for 30 seconds
    Then platform calls of "claims" were all sent
    And the platform store saw at most 610 calls meanwhile

  Scenario: Platform writes keep a budget of their own
    The object API takes several times as many reads as writes. A host that
    writes as often as it may read would crowd out the writes of the others.
    Given a paced platform client of 100 calls and 5 writes a second
    When "claims" asks 50 and "leases" 1 times a second for 30 seconds
    Then the platform store saw at most 158 calls meanwhile
    And a platform read is served at once

  Scenario: A flood of platform claims can't stop leases for good
    Claims alone want more than the whole budget for a long time. A lease
    whose renewals never pass would be lost.
    Given a paced platform client of 40 calls a second and a burst of 10
    When "claims" asks 200 and "leases" 1 times a second for 30 seconds
    Then platform calls of "leases" were all sent
    And the platform store saw at most 1210 calls meanwhile
