Feature: a configuration that has grown large

  Scenario: The configuration grows to 350 kB behind links of 10 Mbit/s
    Hosts served well; the operator adds 1,720 routes. Each proof that keys are
    current fetched the whole, once a second and 0.28 s long; readers counted
    as slow, their followers fetched it too, and nobody was served any more.
    Given the hosts "r,s,t,u" of one domain
    And links of 10 Mbit/s
    When a configuration of 1750 routes is written
    And 20 seconds of relaying pass, and the age of each proof is noted
    Then "r,s,t,u" have version 2
    And "s,t,u" follow "r"
    And each follower's proof was at most 2.2 seconds old
    And the links carried at most 1 MB of the store's answers each
    And "s,t,u" called the store 0 times in them

  Scenario: One route of a large configuration changes
    Given the hosts "r,s,t,u" of one domain
    And links of 10 Mbit/s
    When a configuration of 1750 routes is written
    And 5 seconds of relaying pass
    And the large configuration changes and 2.0 seconds pass
    Then "r,s,t,u" have version 3
    And no word to a follower in them had over 2000 bytes
    And "s,t,u" follow "r"

  Scenario: Large configurations in quick succession
    25 versions come in 1.5 s. A watch brings every one of them whole: nine
    megabytes, seven seconds of the link.
    Given the hosts "r,s,t,u" of one domain
    And links of 10 Mbit/s
    When a configuration of 1750 routes is written
    And 5 seconds of relaying pass
    And the large configuration changes 25 times, 0.06 seconds apart
    And 2.5 seconds of relaying pass
    Then "r,s,t,u" have version 27
    And no answer of the store had over 800 kB
    And "s,t,u" follow "r"

  Scenario: A host whose reader is gone fetches nothing that it has
    Given the hosts "r,s,t,u" of one domain
    And links of 10 Mbit/s
    When a configuration of 1750 routes is written
    And 5 seconds of relaying pass
    And the reader is gone, and "a" is removed 0.05 seconds later
    And 4 seconds of relaying pass
    Then the keys of "t" are trusted
    And the link of "t" carried at most 10 kB of the store's answers

  Scenario: A patch that does not fit leads to the whole
    A follower's text differs from what its reader takes it for.
    Given the hosts "r,s,t,u" of one domain
    When a configuration of 1750 routes is written
    And 2 seconds of relaying pass
    And what "t" has of the configuration is garbled
    And the large configuration changes and 2.0 seconds pass
    Then "r,s,t,u" have version 3
    And the keys of "t" are trusted

  Scenario: Nothing new after a version that can't be used proves nothing
    The operator takes a key away, in a version that this host can't decode.
    All reads after it say that nothing has changed since; taken for a proof of
    the version before, they would keep the key alive for good.
    Given the hosts "r,s,t,u" of one domain
    When a configuration that is none is written and 6.0 seconds pass
    Then no keys are trusted

  Scenario: A configuration that was deleted proves nothing
    Given the hosts "r,s,t,u" of one domain
    When the configuration is deleted and 6 seconds pass
    Then no keys are trusted

  Scenario: The store drops its history
    A watch can't go on from there; the whole is read anew.
    Given the hosts "r,s,t,u" of one domain
    When the store drops its history, and 4 seconds of relaying pass
    Then the keys of "r" are trusted
    When version 2 is written and 2.0 seconds pass
    Then "r,s,t,u" have version 2

  Scenario: Answers of something that lags behind the store prove nothing
    Given the hosts "r" of one domain
    When all watches are answered with old changes for 6 seconds
    Then "r" has read the whole again, and trusts keys by that alone

  Scenario: A large answer that comes in slowly is not asked for again
    It takes three seconds on a link that is full. Asked for again after each
    second, it would come three times, and later each time.
    Given the hosts "r" of one domain
    And links of 1 Mbit/s
    When a configuration of 1750 routes is written
    And 8 seconds of relaying pass
    Then "r" have version 2
    And the links carried at most 1 MB of the store's answers each

  Scenario: A patch brings exactly the newer text, or nothing
    Rows come, go, move and are doubled. A text that is only nearly right would
    send requests to a service that no version ever named.
    Given 300 pairs of texts that differ by rows at random
    Then each patch makes the newer text of the older one
    And no garbled patch makes another text than the newer one
