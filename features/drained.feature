Feature: a failure domain is drained: its upstreams get nothing new

  Scenario Outline: A <kind> request goes to no upstream of a drained domain
    An operator empties a hall before work on its power. Callers whose requests
    are sent there all the same lose them when the power goes.
    Given upstreams in "a,b,b" and a forwarded "<kind>" request
    When the domain "b" is drained
    And the request arrives
    Then forwarded send 0 went to "a"

    Examples:
      | kind       |
      | idempotent |
      | once       |
      | stream     |
      | resumable  |

  Scenario: A second try goes to no upstream of a drained domain
    A lookup is under way as the domain is drained, and is lost. Sent once more,
    it must not go where nothing new may go.
    Given upstreams in "a,b,b" and a forwarded "idempotent" request
    When the request arrives
    And the domain "b" is drained
    And forwarded send 0 is lost
    Then every later forwarded send went to "a"

  Scenario: A stream that breaks goes on in no drained domain
    Given upstreams in "a,b,b" and a forwarded "resumable" request
    When the request arrives
    And forwarded send 0 begins a stream with events 1 to 3
    And the domain "b" is drained
    And the stream of send 0 breaks
    Then every later forwarded send went to "a"

  Scenario: All domains of a service are drained
    Nothing is left to serve the request. Its caller is told the truth at once,
    with the time to come back.
    Given upstreams in "b,b,b" and a forwarded "once" request
    When the domain "b" is drained
    And the request arrives
    Then the caller of the forwarded request gets 503
    And it is refused as "drained" with retry advice
    And 0 forwarded sends were made

  Scenario: A domain that is taken back gets work again
    Given upstreams in "b,b,b" and a forwarded "once" request
    When the domain "b" is drained
    And the drain of the domain "b" ends
    And the request arrives
    Then 1 forwarded sends were made

  Scenario: Stage pieces that wait go to workers of other domains
    A call of the drained domain is under way. It ends whole and its results are
    used; what waits in the queue is made elsewhere.
    Given a stage queue whose workers are in "a,b"
    When stage groups "x,y" of 8 pieces are submitted to it
    And the stage workers of "b" are drained
    And the call in "b" is answered
    Then the group of that call is done
    When 6 further stage groups arrive and all calls are answered
    Then no later stage call went to "b"

  Scenario: Every host hears of a drain from its reader
    Given hosts "r,s,t,u" that watch drained domains
    When the domain "hall" is drained in the store and 0.2 seconds pass
    Then "r,s,t,u" have drained "hall"
    And "s,t,u" called the store 0 times for it
    When the drain of the domain "hall" ends in the store and 0.2 seconds pass
    Then "r,s,t,u" have drained ""

  Scenario Outline: A domain is drained as the reader <fault>
    Followers that went on believing it would send to the domain until their
    next list. They must know within the bound of five seconds.
    Given hosts "r,s,t,u" that watch drained domains
    When the reader <fault>, and "hall" is drained 0.05 seconds later
    And 3.5 seconds of relaying pass
    Then "t,u" have drained "hall"

    Examples:
      | fault           |
      | loses the store |
      | freezes         |
      | is gone         |

  Scenario: The store forgets its history while a domain is taken back
    Nobody hears of the deletion by a watch. Believed for good, a quarter of the
    upstreams would stay without work.
    Given hosts "r,s,t,u" that watch drained domains
    When the domain "hall" is drained in the store and 0.2 seconds pass
    And the drain of the domain "hall" ends while no watch reports it
    And 5.0 seconds of relaying pass
    Then "r,s,t,u" have drained ""

  Scenario: The store refuses all calls for ten seconds
    Each host tried each kind three times a second, and each call is paid for.
    The reads of the configuration, two a second, tell soon enough that it is back.
    Given hosts "r,s,t,u" that watch drained domains
    When all of them lose the store and 10 seconds of relaying pass
    Then none of them has called the store more than 30 times meanwhile
    When they reach the store and "hall" is drained and 1.5 seconds pass
    Then "r,s,t,u" have drained "hall"

  Scenario: A host that can't read its configuration hears of drains all the same
    Only its reads of the configuration fail. Its watches, which wait for these
    while the store is away, must not wait for good.
    Given hosts "r,s,t,u" that watch drained domains
    When the reads of the configuration of "r" count as failing
    And the domain "hall" is drained in the store and 7.0 seconds pass
    Then "r" have drained "hall"

  Scenario: A host that starts hears of a drain without a call of the store
    60 hosts are restarted in turn. A list each would be a call of the store for
    each start, and all of them at once after a loss of power.
    Given hosts "r,s,t,u" that watch drained domains
    When the domain "hall" is drained in the store and 0.2 seconds pass
    And the host "v" starts and 2.0 seconds of relaying pass
    Then "v" have drained "hall"
    And "v" listed the drained domains 0 times

  Scenario: A whole host obeys, and says so
    Given a forwarding fleet of the hosts "one"
    When the domain of the fleet is drained
    Then host "one" answers a draft with 503
    And host "one" logs event "domain-drained" with its revision
    And the metrics of host "one" show that the domain is drained
    When the drain of the domain of the fleet ends
    Then host "one" goes on serving drafts

  Scenario Outline: Operators drain a domain and see whether it is empty
    Given a store and the metrics of two hosts, of which <state>
    Then the drain command writes the entry, and ends it, each once
    And the drain command shows "<line>" with exit code <code>

    Examples:
      | state              | line                                       | code |
      | both drained          | 0 requests and pieces left, 2 of 2 hosts   | 0    |
      | one has not drained  | 0 requests and pieces left, 1 of 2 hosts   | 1    |
      | one is not empty  | 3 requests and pieces left, 2 of 2 hosts   | 1    |
      | one does not answer| 0 requests and pieces left, 1 of 2 hosts   | 1    |
