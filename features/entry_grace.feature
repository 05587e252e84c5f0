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

  Scenario Outline: Each request is told its end before the host is killed
    Guards against requests that are cut off without a status, since nothing ends them before the kill.
    Given a grace host with <grace> seconds
    And its upstreams stand still
    When grace callers ask for "rank", "book", "rank-book" and the stream of "chat"
    And the grace host gets the stop signal
    And <grace> seconds of grace pass
    Then the grace callers' outcomes are "502 failed", "502 unknown", "502 failed" and "502 failed"
    And the grace host had stopped before it was killed
    And no grace invariant was broken

    Examples:
      | grace |
      | 1     |
      | 2     |
      | 4     |
      | 8     |
      | 30    |

  Scenario: An answer goes on to the last moment, and is never closed as whole
    Guards against a stream that ends like a complete one when its host ends it.
    Given a grace host with 8 seconds
    When a grace caller asks for the stream of "chat"
    And 0.08 seconds of grace pass
    And its upstreams stand still
    And the grace host gets the stop signal
    And 7.2 seconds of grace pass
    Then the grace caller's outcome is "begun"
    When 0.8 seconds of grace pass
    Then the grace caller's outcome is "reset"
    And the grace log has "answer-reset" for the grace caller alone
    And the grace host had stopped before it was killed

  Scenario Outline: An upstream that goes on in the last second is waited for
    Guards against requests that are ended too early, though their answers come in time.
    Given a grace host with <grace> seconds
    When grace callers ask for "rank", "book", "rank-book" and the stream of "chat"
    And its upstreams stand still for <still> seconds
    And the grace host gets the stop signal
    And <grace> seconds of grace pass
    Then the grace callers' outcomes are "answered", "answered", "answered" and "answered"
    And the grace host had stopped before it was killed

    Examples:
      | grace | still |
      | 1     | 0.6   |
      | 2     | 1.4   |
      | 4     | 3.1   |
      | 8     | 6.4   |
      | 30    | 27.7  |

  Scenario: A host that was paused past its grace still tells its callers
    Guards against a host that wakes after its grace and closes everything at once.
    Given a grace host with 8 seconds
    And its upstreams stand still
    When grace callers ask for "rank", "book", "rank-book" and the stream of "chat"
    And the grace host gets the stop signal
    And the grace host is paused for 20 seconds
    And 1 seconds of grace pass
    Then the grace callers' outcomes are "502 failed", "502 unknown", "502 failed" and "502 failed"
    And the grace host has ended

  Scenario: A host that was paused reads what has arrived before it ends requests
    Guards against answers that are there already and are refused, or work that begins past the end.
    Given a grace host with 8 seconds
    When grace callers ask for "rank", "book", "rank-book" and the stream of "chat"
    And the grace host gets the stop signal
    And the grace host is paused for 20 seconds
    And 1 seconds of grace pass
    Then the grace callers' outcomes are "answered", "answered", "502 failed" and "answered"

  Scenario: What waits for room and can't be done in the grace is refused at once
    Guards against callers that wait for the end of the grace to hear that nothing has run.
    Given a grace host with 8 seconds that runs 1 request at once
    And its upstreams stand still
    When a grace caller asks for "rank"
    And a second grace caller asks for "long"
    And 2 seconds of grace pass
    And the grace host gets the stop signal
    And 0.02 seconds of grace pass
    Then the second grace caller's outcome is "open"
    When 1 seconds of grace pass
    Then the second grace caller's outcome is "503 not-run"
    And the second grace caller may try again in 1 second
    And the grace caller's outcome is "open"

  Scenario: What waits for room and can be done in the grace is served
    Guards against requests that are refused early, though their turn comes in time.
    Given a grace host with 8 seconds that runs 1 request at once
    When a grace caller asks for "rank"
    And a second grace caller asks for "rank"
    And its upstreams stand still for 6 seconds
    And the grace host gets the stop signal
    And 8 seconds of grace pass
    Then the grace caller's outcome is "answered"
    And the second grace caller's outcome is "answered"

  Scenario: A stage that may run only once is not begun in the last moment
    Guards against an unknown outcome of a stage that had no chance to be done.
    Given a grace host with 8 seconds
    When a grace caller asks for "rank-book"
    And its upstreams stand still for 6.58 seconds
    And the grace host gets the stop signal
    And 8 seconds of grace pass
    Then the grace caller's outcome is "502 failed"
    And the grace upstream "b1" has run 0 calls

  Scenario Outline: The end of a grace leaves a key as its outcome says
    Guards against a repeat that runs a second time, or that is never run though nothing has.
    Given a grace host with 2 seconds
    And its upstreams stand still
    When a grace caller sends the key "k" to "<pipeline>"
    And 0.005 seconds of grace pass
    And the grace host gets the stop signal
    And 2 seconds of grace pass
    Then the grace caller's outcome is "<outcome>"
    And the grace keys have the records "<records>"
    When a grace caller sends the key "k" to "<pipeline>" at the next host
    And 1 seconds of grace pass
    Then the grace caller's outcome is "<repeat>"
    And the grace host had stopped before it was killed

    Examples:
      | pipeline  | outcome     | records        | repeat      |
      | book      | 502 unknown | claim          | 502 unknown |
      | rank-book | 502 failed  | claim, release | answered    |
      | long-book | 503 not-run | claim, release | answered    |

  Scenario: A claim that is on its way at the end of a grace is released
    Guards against a key that stays held by a request which was told as not run.
    Given a grace host with 2 seconds
    When a grace caller sends the key "k" to "book"
    And 0.006 seconds of grace pass
    And the grace store takes 1.75 seconds
    And 0.01 seconds of grace pass
    And the grace host gets the stop signal
    And 1.7 seconds of grace pass
    Then the grace caller's outcome is "503 not-run"
    When the grace store takes 0.005 seconds
    And 0.3 seconds of grace pass
    Then the grace keys have the records "claim, release"
    And the grace upstream "b1" has run 0 calls
    And the grace host had stopped before it was killed

  Scenario: Whoever waits for the request that holds the key isn't told as not run
    Guards against a repeat that is told as not run while its first request has begun to answer.
    Given a grace host with 2 seconds
    When a grace caller sends the key "k" to "once-chat"
    And 0.12 seconds of grace pass
    And its upstreams stand still
    And a second grace caller sends the key "k" to "once-chat"
    And the grace host gets the stop signal
    And 2 seconds of grace pass
    Then the grace caller's outcome is "reset"
    And the second grace caller's outcome is "409 unknown"
    And the grace host had stopped before it was killed

  Scenario Outline: A request that has not arrived whole by the end is refused
    Guards against a caller that still sends and sees its connection cut, with no word on what ran.
    Given a grace host with 2 seconds
    When a grace caller sends <part> of a request
    And the grace host gets the stop signal
    And 1.8 seconds of grace pass
    Then the grace caller's outcome is "open"
    When 0.2 seconds of grace pass
    Then the grace caller's outcome is "503 not-run"
    And the grace host had stopped before it was killed

    Examples:
      | part              |
      | half of the head  |
      | half of the body  |

  Scenario: A request that was sent behind another one is refused by itself
    Guards against a request in a connection's buffer that ends with the one before it.
    Given a grace host with 2 seconds
    And its upstreams stand still
    When a grace caller sends two requests for "rank" at once
    And the grace host gets the stop signal
    And 2 seconds of grace pass
    Then the grace caller has the statuses "502, 503"
    And the grace host had stopped before it was killed

  Scenario Outline: A caller that doesn't read holds no host past its grace
    Guards against a wait for readers that is longer than the grace.
    Given a grace host with <grace> seconds
    When a grace caller that does not read asks for "rank"
    And 0.5 seconds of grace pass
    And the grace host gets the stop signal
    And <grace> seconds of grace pass
    Then the grace host had stopped before it was killed
    And the grace log has "callers-cut-off" for the grace caller alone

    Examples:
      | grace |
      | 1     |
      | 8     |
      | 30    |

  Scenario Outline: An exception ends a request with a status
    Guards against a connection that is cut without a status though no answer has begun.
    Given a grace host
    And its transport raises an exception
    When a grace caller asks for "<pipeline>"
    And 0.1 seconds of grace pass
    Then the grace caller's outcome is "<outcome>"
    And the grace log has "request-crashed" for the grace caller alone

    Examples:
      | pipeline | outcome     |
      | rank     | 502 failed  |
      | book     | 502 unknown |

  Scenario: An exception in the answer on the fleet ends with a status
    Guards against an operator's request that is never answered.
    Given a grace host
    When a grace operator asks for the fleet, and its collection fails
    Then the grace operator has the status 500

  Scenario Outline: A signal in the grace doesn't end the host
    Guards against requests that are cut off by a hangup, or by a second signal to stop.
    Given the grace signals of a command are set up
    When its shutdown begins and it gets <signal>
    Then its log has "signal-ignored" for <signal>

    Examples:
      | signal  |
      | SIGHUP  |
      | SIGTERM |
      | SIGINT  |

  Scenario Outline: Random requests at a leaving host all end before the kill
    Guards against a request that was read and has neither an answer nor a refusal at the kill.
    Given grace sweeps of <grace> seconds with the seeds 1 to 4
    When the grace sweeps are played
    Then no grace sweep has a fault

    Examples:
      | grace |
      | 1     |
      | 2     |
      | 4     |
      | 8     |
      | 30    |
