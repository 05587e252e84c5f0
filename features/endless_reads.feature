Feature: Answers without end, of whatever a host reads

  Scenario: A stage answer without end is given up at once
    Guards against a host that reads a stage answer until its upstream closes.
    Given a server that sends "a body" without end
    When a stage call of 2 pieces is sent to it
    Then the stage call is lost for "answer too long", though it arrived
    And the endless server is not read any more

  Scenario: A call of a pipeline whose answer has a head without end is lost
    Guards against a host that reads headers until its upstream closes.
    Given a server that sends "header lines" without end
    When a call of a pipeline to a "stage" is sent to it
    Then the call of the pipeline is lost for "head too long"
    And the endless server is not read any more

  Scenario: A read of a store whose answer has a head without end has failed
    Guards against a store that holds a host's reads, and fills its memory.
    Given a server that sends "header lines" without end
    When a host reads a store there
    Then the store counts as unavailable for "TooLongError"
    And the endless server is not read any more
