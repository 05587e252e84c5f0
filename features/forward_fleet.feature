Feature: the whole path of forwarded requests: hosts, peers, stages, an engine

  Scenario: Stage work of all hosts goes through one queue a stage
    Two hosts serve drafts whose stages have one queue each. Callers of either
    get whole answers; each piece is made once, and all results are released.
    Given a forwarding fleet of the hosts "one,two"
    When 6 drafts are sent to each forwarding host
    Then all 12 drafts are answered whole
    And each piece was made once, and the engine ran each draft once
    And each stage had one forwarding host as its owner
    And no stage result is left

  Scenario: An owner that is told to stop hands its queue over
    The owner of a stage gets SIGTERM while drafts are under way at the other
    host. None of them is lost, and the host ends by itself.
    Given a forwarding fleet of the hosts "one,two"
    When 4 drafts are sent to forwarding host "one" and host "two" is stopped
    Then all 4 drafts are answered whole
    And forwarding host "two" ends with nothing in flight
    When 2 drafts are sent to forwarding host "one" alone
    Then all 6 drafts are answered whole

  Scenario: A host that leaves serves what it has taken
    A host gets SIGTERM with drafts of its own under way, some of whose pieces
    wait in its own queue. The other host makes them.
    Given a forwarding fleet of the hosts "one,two"
    When 30 drafts are sent to forwarding host "two" and host "two" is stopped
    Then all 30 drafts are answered whole
    And forwarding host "two" ends with nothing in flight

  Scenario: A host that starts while the store is away denies nothing
    Given a forwarding fleet of the hosts "one"
    When the store of the fleet goes down and forwarding host "two" starts
    Then host "two" is not ready, and answers a draft with 503
    And host "one" goes on serving drafts
