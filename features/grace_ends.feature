Feature: the end of a stopping host's grace

  A whole host with real connections of callers, in virtual time; upstreams and
  stage work are scripted.

  Scenario: What a stopping host closes itself is not logged as left by callers
    Guards against log lines, counts and timelines that name the wrong side.
    Given a stopping host with a "stream" route
    And a caller "b1" whose answer has begun
    When the host is stopped, its grace ends and its process exits
    Then "b1" is logged as cut off by the host, begun, after 1 send
    And the timeline of "b1" says that the host closed the connection
    And the losses count 1 request as "failed: cut off"

  Scenario: A caller that leaves a stopping host is logged as left
    The opposite case: a caller that closes its connection in the grace.
    Given a stopping host with a "resumable" route
    And a caller "b1" whose answer has begun
    When the host is stopped and the caller "b1" leaves
    Then "b1" is logged as left by its caller
    And the losses count 1 request as "failed: caller left"
