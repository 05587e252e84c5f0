Feature: cleanup after dead hosts, and refresh of stale backlogs

  Scenario: Most hosts lose power at once and come back
    Dead hosts release nothing, so half of a stage's result memory was taken for
    four seconds by results that no host could read. The resulting backlog was
    reported to all hosts, and they refused requests long after the queue was
    empty.
    When 60 in 100 of 9 hosts lose power for 2 seconds at 1.5 times the load
    Then 4 seconds later at least 90 in 100 requests meet their target latency

  Scenario: The results of a host that lost power are released
    Given a host that holds results of the owner of "intake"
    When it loses power and 2.4 seconds pass
    Then the upstreams of "intake" hold no results

  Scenario: Pieces requested by a host that lost power are cancelled
    Given a host that waits for pieces of the owner of "intake"
    When it loses power and 2.4 seconds pass
    Then the owner of "intake" has no remaining group

  Scenario: A host that only lost its connection keeps its results
    It dials again within a moment and still needs the results. If they were
    released, the request would lose its inputs.
    Given a host that holds results of the owner of "intake"
    When its link to the owner is reset and 1.2 seconds pass
    Then the upstreams of "intake" hold its results

  Scenario: A new process under the host's name keeps no earlier results
    Given a host that holds results of the owner of "intake"
    When its process is replaced at once and 0.7 seconds pass
    Then the upstreams of "intake" hold no results

  Scenario: An owner that reported a long queue is queried again
    The last answers reported a long queue to all hosts. No group reached the
    queue after that, and no host learned for two seconds that it was empty.
    Given a host that got a backlog of 3 seconds for "portal" 0.5 seconds ago
    When it starts a chain that needs "portal"
    Then it expects less than a second for "portal"

  Scenario: The last backlog is used when the owner does not answer
    Given a host that got a backlog of 3 seconds for "portal" 0.5 seconds ago
    When the owner of "portal" loses power
    And it starts a chain that needs "portal"
    Then the chain starts after 0.1 seconds with the last backlog

  Scenario: The last backlog is used when the owner's answer can't be read
    Guards against an answer of a peer that ends a request with an internal error.
    Given a host that got a backlog of 3 seconds for "portal" 0.5 seconds ago
    When the owner of "portal" answers such queries with bytes of no message
    And it starts a chain that needs "portal"
    Then the chain starts after 0.1 seconds with the last backlog
    And event 1109 names the owner of "portal"

  Scenario: A recent backlog is not queried again
    Given a host that got a backlog of 3 seconds for "portal" 0.1 seconds ago
    When it starts a chain that needs "portal"
    Then no owner was queried for its backlog

  Scenario: A request that is cancelled during a query ends as cancelled
    Guards against a request that ends with an internal error, and status 502,
    if its caller leaves or its deadline passes while an owner is queried.
    Given a host that got a backlog of 3 seconds for "portal" 0.5 seconds ago
    When a query of the owner of "portal" is cancelled
    Then the query failed with "CancelledError"

  Scenario: A host whose link to the owner is cut uses another host
    The host is alive, and sends its work to another host, which forwards it. If
    its work were cancelled after the first request fails, its caller would be
    refused.
    Given a host that waits for 4 more seconds for the owner of "intake"
    When its link to the owner is cut permanently and 5.5 seconds pass
    Then its chain has its results

  Scenario: Results are kept when another host forwards a request for them
    Given a host that holds results of the owner of "intake"
    When its link to the owner is cut permanently and 1.3 seconds pass
    And another host requests work with these results as inputs
    And 1.5 seconds pass at all hosts
    Then the upstreams of "intake" hold its results
