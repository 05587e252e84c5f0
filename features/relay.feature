Feature: hosts of a domain share one reader of the store

  Scenario: Only the reader calls the store
    Each call of the store is paid for, and 65 hosts that read for themselves
    make 187 calls a second.
    Given the hosts "r,s,t,u" of one domain
    When 60 seconds of relaying pass
    Then "s,t,u" called the store 0 times in them
    And "r" called it 60 to 130 times

  Scenario: A change is in force at every host at once
    Given the hosts "r,s,t,u" of one domain
    When version 2 is written and 1.0 seconds pass
    Then "r,s,t,u" have version 2

  Scenario: An upstream that comes or goes is known at every host at once
    Given the hosts "r,s,t,u" of one domain
    When the upstream "b" comes and "a" is removed
    And 0.1 seconds of relaying pass
    Then "r,s,t,u" know the upstreams "b"

  Scenario Outline: The reader <fault> while an upstream leaves
    A follower that went on believing its reader would send requests to an
    upstream that is gone. It must know within two seconds.
    Given the hosts "r,s,t,u" of one domain
    When the reader <fault>, and "a" is removed 0.05 seconds later
    And 1.9 seconds of relaying pass
    Then "t,u" know the upstreams ""
    When version 2 is written and 2.0 seconds pass
    Then "s,t,u" have version 2

    Examples:
      | fault                  |
      | loses the store        |
      | freezes                |
      | is gone                |

  Scenario: A key proof is never dated later than the reader's own
    A word is long on its way. Dated from when it came, it would let a key that
    was taken away meanwhile be used for longer than the bound.
    Given the hosts "r,s,t,u" of one domain
    When words take 0.15 seconds each way
    And 10 seconds of relaying pass, and each proof is compared with the reader's
    Then no follower's proof was ever younger than the newest of the reader's
    And each follower's proof was at most 2.0 seconds old

  Scenario: A host that is cut off from the store goes on by its reader's word
    Given the hosts "r,s,t,u" of one domain
    When "t" loses the store and 8 seconds of relaying pass
    Then the keys of "t" are trusted
    When version 2 is written and 1.0 seconds pass
    Then "t" have version 2

  Scenario: Without the store nobody's keys are trusted for longer
    Hosts that passed proofs around among themselves would keep a key alive
    that the operator has taken away.
    Given the hosts "r,s,t,u" of one domain
    When all lose the store and 4.6 seconds of relaying pass
    Then no keys are trusted

  Scenario: A reader that lags brings nothing back
    A host has read version 3 for itself; its reader still has version 2.
    Given the hosts "r,s,t,u" of one domain
    When version 2 is written and 1.0 seconds pass
    And "t" has read version 3 with a newer revision
    And 0.5 seconds of relaying pass
    Then "t" have version 3

  Scenario: News that was told and not yet taken when a reader is lost
    Dropped for good, a host would not hear of an upstream until its next list,
    20 seconds later.
    Given the hosts "r,s,t,u" of one domain
    When the upstream "b" comes as the reader freezes
    And 1.9 seconds of relaying pass
    Then "t,u" know the upstreams "a,b"
    When the reader wakes and the upstream "c" comes
    And 5 seconds of relaying pass
    Then "s,t,u" know the upstreams "a,b,c"
    And "t,u" follow "r"

  Scenario: A follower that missed many changes gets all objects
    Given the hosts "r,s,t,u" of one domain
    When "t" is kept from asking while 600 upstreams come and go
    And 6 seconds of relaying pass
    Then "t" know the upstreams "a"

  Scenario: A word that a part of the host can't bear
    A fault of the program in taking one word must not end the following: the
    host would read nothing any more, and refuse all keys for good.
    Given the hosts "r,s,t,u" of one domain
    When a part of "t" fails at its next word
    And 1.0 seconds of relaying pass
    Then "t" reads for itself
    When 6 seconds of relaying pass
    Then "t,u" follow "r"
    And the keys of "t" are trusted

  Scenario: A word that is no word
    Given the hosts "r,s,t,u" of one domain
    When "t" gets bytes in place of a word
    And 1.0 seconds of relaying pass
    Then "t" reads for itself
    And the keys of "t" are trusted

  Scenario: A reader that leaves sends nobody else to the store
    A tenth of the hosts is restarted each second. Each time that a reader left,
    30 hosts read the store for three seconds, and one had to.
    Given the hosts "r,s,t,u" of one domain
    When the reader leaves and 4 seconds of relaying pass
    Then "t,u" follow "s"
    And "t,u" called the store 0 times in them

  Scenario: The store answers nobody
    All readers say so at once. Sent to the store together, 195 hosts called it
    ten times a second each, for as long as it was away.
    Given the hosts "r,s,t,u,v,w,x,y,z,a,b,c" of one domain
    When all lose the store and 1.9 seconds of relaying pass
    Then at most 7 hosts have called the store
    When the store answers all again and 4 seconds of relaying pass
    Then all keys are trusted

  Scenario: What a host waits for, and what it still knows, is in its log
    Given the hosts "r,s,t,u,v,w,x,y,z,a,b,c" of one domain
    When all lose the store and 3.0 seconds of relaying pass
    Then hosts have logged "reader-skipped" with "age_ms"
    And hosts have logged "read-turn" with "place,wait_ms,age_ms"
    And hosts have logged "reader-lost" with "age_ms"

  Scenario: A store that falls silent is in the log before any call is given up
    Given the hosts "r,s,t,u" of one domain
    When the store answers nobody any more, and 2.0 seconds pass
    Then hosts have logged "store-silent" with "reads,age_ms"

  Scenario: Only the reader is turned away by the store
    Given the hosts "r,s,t,u,v,w,x,y,z,a,b,c" of one domain
    When "r" loses the store and 4.0 seconds of relaying pass
    Then "t,u,c" follow "s"
    And "t,u,c" called the store 0 times in them

  Scenario: A host that starts while upstreams come up
    195 hosts start, and 200 upstreams come up one after the other. Each host
    made eight watches of them before it had a reader to follow.
    Given the hosts "r,s,t,u" of one domain
    When "v" starts, has links 0.9 seconds later, and 8 upstreams come meanwhile
    Then "v" has called the store at most 4 times
    And "v" knows 9 upstreams
