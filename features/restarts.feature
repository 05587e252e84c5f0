Feature: streams at an upstream that starts again under its identifier

  Scenario: A stream is not taken up at a successor whose start no host has noticed
    Guards against events of two versions where the successor listens before the host checks the address.
    Given a host whose upstream tells its start time
    When a stream breaks off there, and the upstream is another process before the host dials it
    And the stream is taken up
    Then the upstream gets no request of that stream, and its caller is refused

  Scenario: A stream goes on after its connection was reset by something else than a restart
    The opposite case: a network that resets connections ends no stream.
    Given a host whose upstream tells its start time
    When a stream breaks off there
    And the stream is taken up
    Then the stream goes on there

  Scenario: A stream goes on at a successor of the same version once its entry is read
    Guards against an upstream that is passed by for good.
    Given a host whose upstream tells its start time
    When a stream breaks off there, and the upstream is another process before the host dials it
    And the stream is taken up
    And the entry of the successor is read, of the same version
    And the stream is taken up
    Then the stream goes on there

  Scenario Outline: What an upstream may answer to a request for its report: <answer>
    Guards against a wrong byte that shows a process, and against upstreams without reports that serve nothing.
    Given a host whose upstream tells its start time
    When a stream breaks off there, and the upstream answers a request for its report with <answer>
    And the stream is taken up
    Then the stream <outcome>

    Examples:
      | answer           | outcome        |
      | {"born": 1000}   | goes on there  |
      | {"queued": 0}    | goes on there  |
      | status 404       | goes on there  |
      | status 503       | does not go on |
      | {"born": 10      | does not go on |
      | {"born": "1000"} | does not go on |

  Scenario: The version of a stream that began after a broken connection is not taken from an old entry
    Guards against streams of a successor that count as streams of the version before.
    Given a host whose upstream tells its start time
    When a stream breaks off there, and the upstream is another process before the host dials it
    And another stream begins there and breaks off
    And the upstream of the entry listens again, and the other stream is taken up
    Then the upstream gets no request of that stream, and its caller is refused

  Scenario: The version of a stream that began after a broken connection is known once its process is
    The opposite case: the connection was reset, and the process is the same one.
    Given a host whose upstream tells its start time
    When a stream breaks off there
    And another stream begins there and breaks off
    And the other stream is taken up
    Then the stream goes on there

  Scenario: Nothing is concluded of a stream while its process is looked into
    Guards against a host that takes up a stream it has just begun as one that nobody began.
    Given a host whose upstream tells its start time
    When a stream breaks off there, and the upstream is another process before the host dials it
    And an upstream of the listed version is added, and another stream breaks off there at once
    And the other stream is taken up
    Then the upstream gets no request of that stream, and its caller is refused

  Scenario: Streams that ask an upstream for its report at once share it
    Guards against an upstream that refuses streams for the connections of their reports.
    Given an upstream that accepts connections and answers nothing
    When 24 streams ask for its report, and 1.5 seconds pass
    Then it was asked 2 times

  Scenario: A report that can't be read as a document ends no request
    Guards against a stream that waits until its deadline for a check that ended with an error.
    Given a host whose upstream tells its start time
    When a stream breaks off there, and its report is nested too deeply
    And the stream is taken up
    Then the stream does not go on

  Scenario Outline: The version of a stream that begins while the store does not answer: <start> start
    Guards against an upstream that restarted while this host had no connection to it.
    Given a host whose upstream tells its start time, and whose store does not answer
    When a stream begins there, and a report states the <start> start
    And the upstream of the entry listens again, and the first stream is taken up
    Then the stream <outcome>

    Examples:
      | start   | outcome        |
      | listed  | goes on there  |
      | another | does not go on |

  Scenario: A report that was asked for before a connection broke shows nothing of the time after it
    Guards against an answer of the process that has ended, which arrives late.
    Given a host that asks an upstream for its report at second 1
    When a connection to the upstream breaks at second 2, and the report states its known start
    Then its process is not known
    When it is asked for its report at second 3, which states its known start
    Then its process is known

  Scenario: A process that another one has followed stays out, whatever the contact with the store
    Guards against an old entry that counts again because the store answers.
    Given a host that asks an upstream for its report at second 1
    When the report states another start
    Then its version is in doubt after 60 seconds of contact with the store

  Scenario: A report is waited for for half a second at most
    Guards against a stream that waits at one silent upstream until its deadline.
    Given an upstream that accepts connections and answers nothing
    When a host asks it for its report, and 0.5 seconds pass
    Then its process is unknown, and the connection is closed
