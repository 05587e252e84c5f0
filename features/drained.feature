Feature: drained failure domains: their upstreams get no new requests

  Scenario Outline: A <kind> request is not sent to a drained domain
    An operator drains a hall before work on its power supply. Requests that
    were still sent there would be lost when the power is cut.
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

  Scenario: A retry is not sent to a drained domain
    A lookup is in flight when the domain is drained, and is lost. Its retry
    counts as a new request.
    Given upstreams in "a,b,b" and a forwarded "idempotent" request
    When the request arrives
    And the domain "b" is drained
    And forwarded send 0 is lost
    Then every later forwarded send went to "a"

  Scenario: A broken stream is not resumed in a drained domain
    Given upstreams in "a,b,b" and a forwarded "resumable" request
    When the request arrives
    And forwarded send 0 begins a stream with events 1 to 3
    And the domain "b" is drained
    And the stream of send 0 breaks
    Then every later forwarded send went to "a"

  Scenario: All domains of a service are drained
    No upstream can serve the request. The caller is refused at once, with
    retry advice.
    Given upstreams in "b,b,b" and a forwarded "once" request
    When the domain "b" is drained
    And the request arrives
    Then the caller of the forwarded request gets 503
    And it is refused as "drained" with retry advice
    And 0 forwarded sends were made

  Scenario: A domain gets work again after the end of its drain
    Given upstreams in "b,b,b" and a forwarded "once" request
    When the domain "b" is drained
    And the drain of the domain "b" ends
    And the request arrives
    Then 1 forwarded sends were made

  Scenario: Waiting stage pieces go to workers of other domains
    A call to the drained domain is in flight. It completes and its results are
    used; the pieces that wait in the queue are made in other domains.
    Given a stage queue whose workers are in "a,b"
    When stage groups "x,y" of 8 pieces are submitted to it
    And the stage workers of "b" are drained
    And the call in "b" is answered
    Then the group of that call is done
    When 6 further stage groups arrive and all calls are answered
    Then no later stage call went to "b"

  Scenario: Every host learns of a drain from its reader
    Given hosts "r,s,t,u" that watch drained domains
    When the domain "hall" is drained in the store and 0.2 seconds pass
    Then "r,s,t,u" have drained "hall"
    And "s,t,u" called the store 0 times for it
    When the drain of the domain "hall" ends in the store and 0.2 seconds pass
    Then "r,s,t,u" have drained ""

  Scenario Outline: A domain is drained when the reader <fault>
    Followers that kept relying on the reader would send to the domain until
    their next list. They must learn of the drain within five seconds.
    Given hosts "r,s,t,u" that watch drained domains
    When the reader <fault>, and "hall" is drained 0.05 seconds later
    And 3.5 seconds of relaying pass
    Then "t,u" have drained "hall"

    Examples:
      | fault           |
      | loses the store |
      | freezes         |
      | is gone         |

  Scenario: The store compacts its history when the drain of a domain ends
    No watch reports the deletion. If hosts kept the drain, a quarter of the
    upstreams would stay without work.
    Given hosts "r,s,t,u" that watch drained domains
    When the domain "hall" is drained in the store and 0.2 seconds pass
    And the drain of the domain "hall" ends while no watch reports it
    And 5.0 seconds of relaying pass
    Then "r,s,t,u" have drained ""

  Scenario: The store refuses all calls for ten seconds
    Each host retried each kind three times a second, and each call is billed.
    The reads of the configuration, two a second, detect its return soon enough.
    Given hosts "r,s,t,u" that watch drained domains
    When all of them lose the store and 10 seconds of relaying pass
    Then none of them has called the store more than 30 times meanwhile
    When they reach the store and "hall" is drained and 1.5 seconds pass
    Then "r,s,t,u" have drained "hall"

  Scenario: A host that can't read its configuration still learns of drains
    Only its reads of the configuration fail. Its watches, which wait for these
    reads while the store is unavailable, must not wait forever.
    Given hosts "r,s,t,u" that watch drained domains
    When the reads of the configuration of "r" count as failing
    And the domain "hall" is drained in the store and 7.0 seconds pass
    Then "r" have drained "hall"

  Scenario: A starting host learns of a drain without a call to the store
    60 hosts are restarted in turn. If each listed the drains, every start would
    cost a call to the store, all of them at once after a power failure.
    Given hosts "r,s,t,u" that watch drained domains
    When the domain "hall" is drained in the store and 0.2 seconds pass
    And the host "v" starts and 2.0 seconds of relaying pass
    Then "v" have drained "hall"
    And "v" listed the drained domains 0 times

  Scenario: A complete host applies a drain, logs it and exports it as a metric
    Given a forwarding fleet of the hosts "one"
    When the domain of the fleet is drained
    Then host "one" answers a draft with 503
    And host "one" logs event "domain-drained" with its revision
    And the metrics of host "one" show that the domain is drained
    When the drain of the domain of the fleet ends
    Then host "one" goes on serving drafts

  Scenario Outline: The drain command drains a domain and shows whether it is empty
    Given a store and the metrics of two hosts, of which <state>
    Then the drain command writes the entry, and ends it, each once
    And the drain command shows "<line>" with exit code <code>

    Examples:
      | state              | line                                       | code |
      | both drained          | 0 requests and pieces left, 2 of 2 hosts   | 0    |
      | one has not drained  | 0 requests and pieces left, 1 of 2 hosts   | 1    |
      | one is not empty  | 3 requests and pieces left, 2 of 2 hosts   | 1    |
      | one does not answer| 0 requests and pieces left, 1 of 2 hosts   | 1    |
