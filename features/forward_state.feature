Feature: state of a forwarding host: configuration, keys, upstreams, hosts

  Scenario: A configuration is never replaced by an older one
    A slow read returns an old version after a new one. If it were applied,
    callers would see a route disappear that was just added.
    Given a configuration reader that has read version 7
    When it reads version 5 with an older revision
    Then version 7 is in force

  Scenario: A key is trusted only with a recently verified configuration
    A host is cut off from the store while a key is removed. After the limit it
    must not serve that key, although it gets no updates.
    Given a configuration reader that has read version 7
    Then its keys are trusted for 4.4 seconds
    But not for 4.6 seconds

  Scenario: A host that did not read the store admits no requests by an old table
    A host can reach the store but did not read it: it was suspended, or relied
    on another host. Changes from before the limit may be missing.
    Given a configuration reader that has read version 7
    Then its table is in use for 1.9 seconds
    But not for 2.1 seconds, until a read is in flight without an answer

  Scenario: A host that has lost the store continues with its last table
    Given a configuration reader at a store that is silent for 0 seconds
    When 5 seconds of reading pass
    And the store falls silent, and 4.0 seconds of reading pass
    Then its table was in use throughout

  Scenario: A verification dates from before its read was sent
    An answer takes three seconds. Its content was valid at some moment of that
    time, and the key may have been removed right after the first moment.
    Given a configuration reader that has read version 7
    When 2 seconds later it sends a read that is answered 3 seconds after that
    Then its keys are trusted for 1.4 seconds
    But not for 1.6 seconds

  Scenario: A host that was suspended does not trust an old verification
    The monotonic clock does not advance while a machine is suspended.
    Given a configuration reader that has read version 7
    When the host is suspended for 6 seconds
    Then its keys are not trusted

  Scenario: An invalid configuration leaves the last valid one in force
    Given a configuration reader that has read version 7
    When it reads a version 9 that is invalid
    Then version 7 is in force
    And its keys are trusted for 0 seconds
    And the reason is logged once

  Scenario: The return of a silent store is noticed soon
    The store stops answering with a read in flight, and returns two seconds
    later. Hosts that waited for the timeout of that read refused keys for up to
    four seconds more.
    Given a configuration reader at a store that is silent for 2.0 seconds
    When 2.9 seconds of reading pass
    Then its keys are trusted
    And no more than 3 of its reads were in flight at a time

  Scenario: Reads of a working store are paced
    Each call to the store is billed.
    Given a configuration reader at a store that is silent for 0 seconds
    When 20 seconds of reading pass
    Then it has read 16 to 23 times

  Scenario: Reading continues when a listener fails at a new version
    Given a configuration reader that has read version 7
    And a listener that raises at each new version
    When it reads version 8 with a newer revision
    Then version 8 is in force

  Scenario: An upstream that leaves gets no new work
    Given a registry with the upstreams "a,b" of a service
    When the registry reports that "a" leaves
    Then the usable upstreams are "b"

  Scenario: Entries that expired while the store was unavailable may return
    The store is down for longer than the upstreams' heartbeat interval, so their
    entries expire. If the deletions were applied at once, no upstream would be
    left when the store returns.
    Given a registry with the upstreams "a,b" of a service
    When the store fails, and 0.5 seconds later "a,b" are missing
    Then the usable upstreams are "a,b"
    When the registry reports that "a" is back
    And 2.5 seconds of registry time pass
    Then the usable upstreams are "a"

  Scenario: An upstream that was dropped while its entry was missing is kept once it is back
    The time that the missing entry was given would end for the new one.
    Given a registry with the upstreams "a,b" of a service
    When the store fails, and 0.5 seconds later "a" are missing
    And a request finds that "a" is gone
    And the registry reports that "a" is back
    And 2.5 seconds of registry time pass
    Then the usable upstreams are "a,b"

  Scenario: An entry that a working store deletes is removed at once
    Given a registry with the upstreams "a,b" of a service
    When the store fails, and 5.0 seconds later "a" are missing
    Then the usable upstreams are "b"

  Scenario: Hosts share one peer key in the store
    Two hosts that start together both create a key. If each kept its own, they
    would reject each other's connections.
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

  Scenario: A host that restarts under its name
    Its entry from before the crash is in the store; each call to the store is
    billed.
    Given a member whose own entry is in the store
    When it registers
    Then it has written nothing
    When its entry is deleted by a late call
    Then its entry is restored

  Scenario: A leaving host does not register again
    Given a member whose own entry is in the store
    When it registers
    And it leaves
    Then its entry is gone

  Scenario: A new host writes its entry with one call
    Given a member without an entry in the store
    When it registers
    Then it has written 1 time

  Scenario: Another process of the same name writes its entry at the same time
    Given a member without an entry in the store
    When its previous process writes an entry of another address
    And it registers
    Then its entry is restored
