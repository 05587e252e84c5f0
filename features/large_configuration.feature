Feature: Large configurations

  Scenario: The configuration grows to 350 kB behind links of 10 Mbit/s
    The operator adds 1,720 routes to a configuration of a working fleet. When
    each verification was a full read, it took 0.28 s of the link once a second.
    Readers then counted as slow, their followers also sent full reads, and no
    requests were served any more.
    Given the hosts "r,s,t,u" of one domain
    And links of 10 Mbit/s
    When a configuration of 1750 routes is written
    And 20 seconds of relaying pass, and the age of each verification is recorded
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
    And no update to a follower in them had over 2000 bytes
    And "s,t,u" follow "r"

  Scenario: Large configurations in quick succession
    25 versions are written in 1.5 s. A watch would return each of them in full:
    nine megabytes, which take seven seconds of the link.
    Given the hosts "r,s,t,u" of one domain
    And links of 10 Mbit/s
    When a configuration of 1750 routes is written
    And 5 seconds of relaying pass
    And the large configuration changes 25 times, 0.06 seconds apart
    And 2.5 seconds of relaying pass
    Then "r,s,t,u" have version 27
    And no answer of the store had over 800 kB
    And "s,t,u" follow "r"

  Scenario: A host that loses its reader does not read what it already has
    Given the hosts "r,s,t,u" of one domain
    And links of 10 Mbit/s
    When a configuration of 1750 routes is written
    And 5 seconds of relaying pass
    And the reader is gone, and "a" is removed 0.05 seconds later
    And 4 seconds of relaying pass
    Then the keys of "t" are trusted
    And the link of "t" carried at most 10 kB of the store's answers

  Scenario: A patch that does not apply leads to a full transfer
    The text of a follower differs from the text that its reader assumes.
    Given the hosts "r,s,t,u" of one domain
    When a configuration of 1750 routes is written
    And 2 seconds of relaying pass
    And the configuration text of "t" is corrupted
    And the large configuration changes and 2.0 seconds pass
    Then "r,s,t,u" have version 3
    And the keys of "t" are trusted

  Scenario: No change after an invalid version is no verification
    The operator revokes a key in a version that this host can't decode. All
    later reads return that nothing has changed since. If they verified the
    previous version, the key would stay valid indefinitely.
    Given the hosts "r,s,t,u" of one domain
    When an invalid configuration is written and 6.0 seconds pass
    Then no keys are trusted

  Scenario: A deleted configuration is no verification
    Given the hosts "r,s,t,u" of one domain
    When the configuration is deleted and 6 seconds pass
    Then no keys are trusted

  Scenario: The store compacts its history
    A watch can't resume from a compacted revision; a full read is needed.
    Given the hosts "r,s,t,u" of one domain
    When the store compacts its history, and 4 seconds of relaying pass
    Then the keys of "r" are trusted
    When version 2 is written and 2.0 seconds pass
    Then "r,s,t,u" have version 2

  Scenario: Answers from a replica that lags behind are no verification
    Given the hosts "r" of one domain
    When all watches are answered with old changes for 6 seconds
    Then "r" has sent a full read again, and trusts keys by that read only

  Scenario: A large answer that arrives slowly is not requested again
    The answer takes three seconds on a saturated link. If it were requested
    again after each second, it would be sent three times, each time later.
    Given the hosts "r" of one domain
    And links of 1 Mbit/s
    When a configuration of 1750 routes is written
    And 8 seconds of relaying pass
    Then "r" have version 2
    And the links carried at most 1 MB of the store's answers each

  Scenario: A patch produces exactly the newer text, or nothing
    Rows are added, removed, moved and duplicated. A text that is only nearly
    correct would send requests to a service that is in no version.
    Given 300 pairs of texts that differ by rows at random
    Then each patch produces the newer text from the older one
    And no corrupted patch produces a text other than the newer one
