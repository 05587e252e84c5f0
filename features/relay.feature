Feature: hosts of a domain share one store reader

  Scenario: Only the reader calls the store
    Each call of the store is paid for, and 65 hosts that each read the store
    make 187 calls a second.
    Given the hosts "r,s,t,u" of one domain
    When 60 seconds of relaying pass
    Then "s,t,u" called the store 0 times in them
    And "r" called it 60 to 130 times

  Scenario: A change is in force at every host at once
    Given the hosts "r,s,t,u" of one domain
    When version 2 is written and 1.0 seconds pass
    Then "r,s,t,u" have version 2

  Scenario: An added or removed upstream is known at every host at once
    Given the hosts "r,s,t,u" of one domain
    When the upstream "b" is added and "a" is removed
    And 0.1 seconds of relaying pass
    Then "r,s,t,u" know the upstreams "b"

  Scenario Outline: The reader <fault> while an upstream leaves
    A follower that continued to rely on its reader would send requests to an
    upstream that is gone. It must know of the removal within two seconds.
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

  Scenario: A follower's verification is never dated later than the reader's own
    An update has a long network delay. If it were dated from its arrival, a key
    revoked meanwhile could be used for longer than the bound.
    Given the hosts "r,s,t,u" of one domain
    When messages take 0.15 seconds in each direction
    And 10 seconds of relaying pass, and each verification time is compared with the reader's
    Then no follower's verification time was ever later than the reader's
    And each follower's proof was at most 2.0 seconds old

  Scenario: A host that is cut off from the store uses its reader's updates
    Given the hosts "r,s,t,u" of one domain
    When "t" loses the store and 8 seconds of relaying pass
    Then the keys of "t" are trusted
    When version 2 is written and 1.0 seconds pass
    Then "t" have version 2

  Scenario: Without the store no host trusts keys beyond the bound
    Hosts that refreshed verification times from each other would keep accepting
    a key that the operator has revoked.
    Given the hosts "r,s,t,u" of one domain
    When all lose the store and 4.6 seconds of relaying pass
    Then no keys are trusted

  Scenario: A lagging reader does not restore an older configuration
    A host has read version 3 itself; its reader still has version 2.
    Given the hosts "r,s,t,u" of one domain
    When version 2 is written and 1.0 seconds pass
    And "t" has read version 3 with a newer revision
    And 0.5 seconds of relaying pass
    Then "t" have version 3

  Scenario: Changes received but not yet applied when a reader is lost
    If these changes were dropped, a host would not know of an upstream until
    its next list, 20 seconds later.
    Given the hosts "r,s,t,u" of one domain
    When the upstream "b" is added as the reader freezes
    And 1.9 seconds of relaying pass
    Then "t,u" know the upstreams "a,b"
    When the reader resumes and the upstream "c" is added
    And 5 seconds of relaying pass
    Then "s,t,u" know the upstreams "a,b,c"
    And "t,u" follow "r"

  Scenario Outline: A follower's list is answered though a request is under way
    Guards against drained domains that a host does not learn of for as long as
    nothing changes: the answer under way undoes the request for all objects.
    Given the hosts "r,s,t,u" of one domain that watch drained domains
    When "t" loses its reader <seconds> s after it has asked it
    And 1.0 seconds of relaying pass
    Then "t" follow "r"
    And "t" gets its list of drained domains within 1.5 seconds

    Examples:
      | seconds |
      | 0.1     |
      | 0.3     |
      | 0.5     |

  Scenario: A follower that missed many changes gets all objects
    Given the hosts "r,s,t,u" of one domain
    When "t" can not send requests while 600 upstreams are added or removed
    And 6 seconds of relaying pass
    Then "t" know the upstreams "a"

  Scenario: An exception while a host applies an update
    An exception while one update is applied must not end the polling of the
    reader: the host would read nothing any more and refuse all keys.
    Given the hosts "r,s,t,u" of one domain
    When "t" raises an exception when it applies its next update
    And 1.0 seconds of relaying pass
    Then "t" reads the store itself
    When 6 seconds of relaying pass
    Then "t,u" follow "r"
    And the keys of "t" are trusted

  Scenario: A malformed update
    Given the hosts "r,s,t,u" of one domain
    When "t" receives malformed bytes instead of an update
    And 1.0 seconds of relaying pass
    Then "t" reads the store itself
    And the keys of "t" are trusted

  Scenario: When the reader leaves, only the next reader calls the store
    A tenth of the hosts is restarted each second. Each time a reader left, 30
    hosts read the store for three seconds where one would have been enough.
    Given the hosts "r,s,t,u" of one domain
    When the reader leaves and 4 seconds of relaying pass
    Then "t,u" follow "s"
    And "t,u" called the store 0 times in them

  Scenario: The store answers no host
    All readers report at once that they have no store. When 195 hosts then went
    to the store together, each called it ten times a second during the outage.
    Given the hosts "r,s,t,u,v,w,x,y,z,a,b,c" of one domain
    When all lose the store and 1.9 seconds of relaying pass
    Then at most 7 hosts have called the store
    When the store answers all hosts again and 4 seconds of relaying pass
    Then all keys are trusted

  Scenario: A host logs its wait for the store and the age of its configuration
    Given the hosts "r,s,t,u,v,w,x,y,z,a,b,c" of one domain
    When all lose the store and 3.0 seconds of relaying pass
    Then hosts have logged "reader-skipped" with "age_ms"
    And hosts have logged "read-turn" with "place,wait_ms,age_ms"
    And hosts have logged "reader-lost" with "age_ms"

  Scenario: A silent store is logged before any call times out
    Given the hosts "r,s,t,u" of one domain
    When the store stops answering watches, and 2.0 seconds pass
    Then hosts have logged "store-silent" with "reads,age_ms"

  Scenario: The store refuses only the reader
    Given the hosts "r,s,t,u,v,w,x,y,z,a,b,c" of one domain
    When "r" loses the store and 4.0 seconds of relaying pass
    Then "t,u,c" follow "s"
    And "t,u,c" called the store 0 times in them

  Scenario: A host that starts while upstreams start
    195 hosts start, and 200 upstreams start one after the other. Each host made
    eight watches for them before it had a reader to follow.
    Given the hosts "r,s,t,u" of one domain
    When "v" starts, has links 0.9 seconds later, and 8 upstreams are added meanwhile
    Then "v" has called the store at most 4 times
    And "v" knows 9 upstreams
