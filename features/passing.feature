Feature: forwarding of stage work to the host that owns the queue

  Scenario: Hosts that have no link to an owner share its queue all the same
    Restarted hosts establish their links one after the other. Groups of them
    that had separate queues on the same upstreams had calls wait for those of
    the other queue, and their inputs were released in the meantime.
    Given 8 hosts of which 4 have lost their links to the owner of "intake"
    When 30 chains start at those 4 within 2 seconds
    Then only the owner of "intake" has called its upstreams
    And all 30 chains have their results
    And after their release the owner's queue counts no results as held

  Scenario: Work is not forwarded twice between two hosts
    Two hosts with different views of the fleet each take the other one for the
    owner. If they forwarded work repeatedly, it would never be done.
    Given 8 hosts of which 4 have lost their links to the owner of "intake"
    When a host that does not own "intake" receives a forwarded group
    Then it processes the group in its own queue

  Scenario: Cancelling a request cancels its forwarded work
    The caller disconnects. Pieces without a reader would use calls and memory.
    Given 8 hosts of which 4 have lost their links to the owner of "intake"
    When a chain starts at one of those 4 and is withdrawn before it is made
    Then the owner of "intake" has no remaining group

  Scenario: The owner loses power with forwarded work
    Given 8 hosts of which 4 have lost their links to the owner of "intake"
    When 10 chains start at those 4 and the owner of "intake" loses power
    Then all 10 chains have their results
