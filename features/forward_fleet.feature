Feature: Forwarded requests through hosts, peers, stages and an engine

  Scenario: Each stage has one queue for the work of all hosts
    Two hosts serve drafts whose stages have one queue each. Callers of both
    hosts get complete answers, each piece runs once, and all results are
    released.
    Given a forwarding fleet of the hosts "one,two"
    When 6 drafts are sent to each forwarding host
    Then all 12 drafts are answered completely
    And each piece ran once, and the engine ran each draft once
    And each stage had one forwarding host as its owner
    And all stage results are released

  Scenario: A stopping owner hands over its queue
    The owner of a stage gets SIGTERM while drafts are in flight at the other
    host. No draft is lost, and the process of the owner ends by itself.
    Given a forwarding fleet of the hosts "one,two"
    When 4 drafts are sent to forwarding host "one" and host "two" is stopped
    Then all 4 drafts are answered completely
    And forwarding host "two" stops with no request in flight
    When 2 drafts are sent to forwarding host "one" alone
    Then all 6 drafts are answered completely

  Scenario: A leaving host completes its accepted requests
    A host gets SIGTERM with drafts in flight, some of whose pieces wait in its
    own queue. The other host runs these pieces.
    Given a forwarding fleet of the hosts "one,two"
    When 30 drafts are sent to forwarding host "two" and host "two" is stopped
    Then all 30 drafts are answered completely
    And forwarding host "two" stops with no request in flight

  Scenario: A leaving host refuses what no upstream has got when its time is up
    Its stage work still waits then; the connections closed without an answer.
    Given a forwarding fleet of the hosts "one"
    And forwarding host "one" gets no answers from its upstreams
    When 3 drafts are sent to forwarding host "one", which is then stopped
    Then each draft is answered with 503 and when to come back

  Scenario: A host that starts during a store outage sends no final refusal
    Given a forwarding fleet of the hosts "one"
    When the store of the fleet fails and forwarding host "two" starts
    Then host "two" is not ready, and answers a draft with 503
    And host "one" goes on serving drafts
