Feature: stage work is passed on to the host that owns the queue

  Scenario: Hosts that have no link to an owner share its queue all the same
    Hosts come back after a kill and reach each other one after the other. Each
    group of them had a queue of its own on the same upstreams: calls waited for
    those of the other queue, and their inputs were released meanwhile.
    Given 8 hosts of which 4 have lost their links to the owner of "intake"
    When 30 chains begin at those 4 within 2 seconds
    Then only the owner of "intake" has called its upstreams
    And all 30 chains have their results
    And after their release the owner's queue counts no results as held

  Scenario: Two hosts that take each other for the owner
    Each knows of other hosts than the other. Passed on again and again, the
    work would never be done.
    Given 8 hosts of which 4 have lost their links to the owner of "intake"
    When a host that does not own "intake" gets a group that was passed on
    Then it has the group made itself

  Scenario: A request whose work was passed on is given up
    The caller leaves. Pieces that nobody reads would take calls and room.
    Given 8 hosts of which 4 have lost their links to the owner of "intake"
    When a chain begins at one of those 4 and is withdrawn before it is made
    Then the owner of "intake" has no group left

  Scenario: The owner loses power with passed work
    Given 8 hosts of which 4 have lost their links to the owner of "intake"
    When 10 chains begin at those 4 and the owner of "intake" loses power
    Then all 10 chains have their results
