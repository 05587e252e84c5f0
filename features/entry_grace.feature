Feature: the end of a grace on the pipelines' own interface

  Scenario: A caller that left is told from one that the entry host closed
    Guards against a log that names the caller for what the host closed itself.
    Given a grace host
    When a grace caller asks for the stream of "chat"
    And a second grace caller asks for "chat"
    And the grace upstream "e1" cuts its streams after 2 tokens
    And 0.02 seconds of grace pass
    And the second grace caller leaves
    And 2 seconds of grace pass
    Then the grace caller's outcome is "reset"
    And the grace log has "answer-reset" for the grace caller alone
    And the grace log has "caller-closed" for the second grace caller alone

  Scenario: The entry host names the requests whose answers were not read
    Guards against answers that are cut off at the end and can't be found in the log.
    Given a grace host
    When a grace caller that does not read asks for "chat"
    And 1 seconds of grace pass
    And the grace host gets the stop signal
    And 40 seconds of grace pass
    Then the grace log has "callers-cut-off" for the grace caller alone
    And the timeline of that request explains each line
