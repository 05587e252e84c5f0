Feature: turns of identical requests

  Background:
    Given a host that sends copies of a request, of which the first has its turn

  Scenario: The next copy is sent when the first one has ended without an answer
    When 2 more copies wait at most 1 seconds
    And the first copy ends
    Then 1 of the waiting copies has its turn

  Scenario: All copies are sent once an answer has begun
    When 2 more copies wait at most 1 seconds
    And an upstream begins to answer
    Then 2 of the waiting copies have their turn

  Scenario: An answer that begins proves nothing while an upstream has crashed
    When 2 more copies wait at most 1 seconds
    And an upstream crashes that ran the request
    And an upstream begins to answer
    Then 0 of the waiting copies have their turn

  Scenario: A copy waits no longer than its time
    Its caller would get no answer in time if the first one stays silent.
    When 2 more copies wait at most 1 seconds
    And 1 seconds pass for the copies
    Then 2 of the waiting copies have their turn

  Scenario: A copy whose caller has left keeps no turn
    When 2 more copies wait at most 1 seconds
    And the caller of the next copy leaves
    And the first copy ends
    Then 1 of the waiting copies has its turn
    When all copies have ended
    Then nothing is kept of them
