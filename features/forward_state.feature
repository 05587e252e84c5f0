Feature: what a forwarding host believes: configuration, keys, upstreams, hosts

  Scenario: A configuration never goes back
    A read that was long on its way brings an old version after a new one.
    Taken, callers would see a route vanish that was just added.
    Given a configuration reader that has read version 7
    When it reads version 5 with an older revision
    Then version 7 is in force

  Scenario: A key is trusted only with a fresh proof
    A host is cut off from the store while a key is taken away. After the
    bound it must not serve that key, though it hears of nothing.
    Given a configuration reader that has read version 7
    Then its keys are trusted for 4.4 seconds
    But not for 4.6 seconds

  Scenario: A host that was kept from asking takes no requests by an old table
    A host has the store, and did not ask it: it stood still, or relied on
    another one. Changes of longer ago than the bound may be missing.
    Given a configuration reader that has read version 7
    Then its table is in use for 1.9 seconds
    But not for 2.1 seconds, until a read is in flight without an answer

  Scenario: A host that has lost the store goes on by what it knows
    Given a configuration reader at a store that is silent for 0 seconds
    When 5 seconds of reading pass
    And the store falls silent, and 4.0 seconds of reading pass
    Then its table was in use throughout

  Scenario: A proof dates from before its read was sent
    An answer takes three seconds. What it says was true at some moment in
    them, and the key may have been taken away right after the first.
    Given a configuration reader that has read version 7
    When 2 seconds later it sends a read that is answered 3 seconds after that
    Then its keys are trusted for 1.4 seconds
    But not for 1.6 seconds

  Scenario: A host that was suspended does not trust an old proof
    The usual clock stands still while a machine is suspended.
    Given a configuration reader that has read version 7
    When the host is suspended for 6 seconds
    Then its keys are not trusted

  Scenario: A configuration that can't be used leaves the last good one
    Given a configuration reader that has read version 7
    When it reads a version 9 that is invalid
    Then version 7 is in force
    And its keys are trusted for 0 seconds
    And the reason is logged once

  Scenario: A store that was silent is noticed soon after its return
    The store falls silent with a read on its way, and returns two seconds
    later. Waiting for that read to be given up, hosts refused keys for up to
    four seconds more.
    Given a configuration reader at a store that is silent for 2.0 seconds
    When 2.9 seconds of reading pass
    Then its keys are trusted
    And no more than 3 of its reads were in flight at a time

  Scenario: Reads of a sound store are paced
    Each call of the store is paid for.
    Given a configuration reader at a store that is silent for 0 seconds
    When 20 seconds of reading pass
    Then it has read 16 to 23 times

  Scenario: Reading goes on when a part can't bear a new version
    Given a configuration reader that has read version 7
    And a listener that raises at each new version
    When it reads version 8 with a newer revision
    Then version 8 is in force

  Scenario: An upstream that leaves gets no new work
    Given a registry with the upstreams "a,b" of a service
    When the registry reports that "a" leaves
    Then the usable upstreams are "b"

  Scenario: Entries that lapsed while the store was away may come back
    The store is down for longer than upstreams' heartbeats; their entries
    lapse. Believed at once, no upstream would be left when it returns.
    Given a registry with the upstreams "a,b" of a service
    When the store fails, and 0.5 seconds later "a,b" are missing
    Then the usable upstreams are "a,b"
    When the registry reports that "a" is back
    And 2.5 seconds of registry time pass
    Then the usable upstreams are "a"

  Scenario: A missing entry of a sound store is gone at once
    Given a registry with the upstreams "a,b" of a service
    When the store fails, and 5.0 seconds later "a" are missing
    Then the usable upstreams are "b"

  Scenario: Hosts share one key that the store keeps
    Two hosts that start together both make a key. Each with its own, neither
    would let the other in.
    Given two hosts that start at one store without a key
    Then both read the same peer key

  Scenario: A host's entry is written until the store has it
    Given a store that fails twice
    When a host registers there
    Then its entry is in the store
    And 2 failures to register are logged

  Scenario: Routes are matched by host and longest prefix, services by weight
    Given a route table with "/a/" and "/a/b/"
    Then "/a/b/c" has the route "/a/b/" and "/a/c" has "/a/"
    And "/c" has none
    And of 1000 requests 880 to 920 go to the service with 90 in 100

  Scenario: A host that starts again under its name
    Its entry stands from before the crash; each call of the store is paid for.
    Given a member whose own entry is in the store
    When it registers
    Then it has written nothing
    When its entry is deleted by a late call
    Then its entry is restored

  Scenario: A host that leaves does not come back
    Given a member whose own entry is in the store
    When it registers
    And it leaves
    Then its entry is gone

  Scenario: A host that is new writes its entry by one call
    Given a member without an entry in the store
    When it registers
    Then it has written 1 time

  Scenario: An entry that another process of the same name wrote meanwhile
    Given a member without an entry in the store
    When its previous process writes an entry of another address
    And it registers
    Then its entry is restored
