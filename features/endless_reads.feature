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

  Scenario Outline: Other answers to a host's own calls are given up at once
    Guards against a bound on one kind of answer only.
    Given a server that sends "<form>" without end
    When a host sends it <reader>
    Then it has failed
    And the endless server is not read any more

    Examples:
      | reader                 | form                |
      | a stage call           | a body of a failure |
      | a release of results   | a body              |
      | a load poll            | a body              |
      | a load poll            | header lines        |
      | a request of a caller  | a body              |
      | a request of a caller  | header lines        |

  Scenario: The longest stage answer is read
    The opposite case: handles may be much longer than they are.
    Given a host whose upstream closes each connection after its answer
    When a stage call of 8 pieces is answered with handles of 1000 bytes
    Then the stage call has the results of 8 pieces

  Scenario: A stage worker whose answers have no end gets few calls meanwhile
    Guards against pieces that go to such a worker again and again while another
    one answers, and against a worker that is never asked again.
    Given a stage queue over workers in "a,a"
    When the answers of its first worker have no end for 8 seconds
    Then it got at most 6 calls and no request was refused or waited over 1 second
    When its first worker answers again for 8 seconds
    Then it gets as many calls as the other one, within a third

  Scenario Outline: An answer to a call of a pipeline is given up when it is too long
    Guards against a bound on one part of an answer only.
    Given a server that sends "<form>" without end
    When a call of a pipeline to a "<kind>" is sent to it
    Then the call of the pipeline is lost for "<reason>"
    And the endless server is not read any more

    Examples:
      | kind   | form                | reason          |
      | engine | interim heads       | head too long   |
      | stage  | a body              | reply too large |
      | stage  | a body of a failure | status 500      |
      | engine | an event            | event too long  |

  Scenario: The longest head of an answer is read
    The opposite case: sixty header lines of a kilobyte, after interim heads.
    Given a server that answers with a head of 60000 bytes
    When a call of a pipeline to a "stage" is sent to it
    Then the call of the pipeline is answered

  Scenario Outline: Other calls to a store are given up when the answer is too long
    Guards against a bound on some of a host's calls to its store only.
    Given a server that sends "<form>" without end
    When a host sends a <call> to a store there
    Then the call to the store ends as "<outcome>" for "TooLongError"
    And the endless server is not read any more

    Examples:
      | call  | form                | outcome     |
      | read  | a body              | Unavailable |
      | list  | a body of a failure | Unavailable |
      | write | header lines        | InDoubt     |
      | watch | interim heads       | Unavailable |

  Scenario: A store's answer that stops half-way holds nothing after its timeout
    Guards against a store that counts as answering for ever, so that its silence
    goes unnoticed, and against connections that stay open.
    Given a platform server that answers in parts
    When a raw platform call over HTTP with 1 second begins to be answered
    And no further part arrives for 1.1 seconds
    Then the raw platform call over HTTP timed out
    And no response body is being received
    And its connection to the platform server is closed

  Scenario: A stream that brings no token is lost after some bytes
    Guards against comments and events of nobody that are read without end.
    Given a server that sends "events of nobody" without end
    When a call of a pipeline to a "engine" is sent to it
    Then the call of the pipeline is lost for "stream without tokens"
    And the endless server is not read any more

  Scenario: A stream that repeats its tokens counts as silent
    Guards against an upstream whose bytes bring nothing and hold the caller.
    Given a requests host
    When the first requests call repeats its first token after 3 tokens
    And a "draft" request is sent
    And 2 request seconds pass
    Then the request ends as "answered"
    And the request's stream is complete

  Scenario: A stranger that drips into the handshake of a peer is dropped
    Guards against strangers that hold all handshakes of a host, a byte at a time.
    Given peer hosts "a"
    When a stranger sends a byte a second to peer "a" for 6 seconds
    Then the stranger's connection to the peer was closed

  Scenario: Bytes after the end of a peer's frames are not kept
    Guards against a peer that sends on after an upstream's close.
    When a tunnel gets 3000000 bytes after the end of its upstream's connection
    Then the tunnel holds none of them

  Scenario: The ready page of a host takes no body without end
    Guards against a body that is kept in a file, of which hosts have none.
    Given a forwarding fleet of the hosts "a"
    When the ready page of host "a" gets a body of 300000 bytes in chunks
    Then the ready page answers 413

  Scenario: A caller of the JSON path that drips its request is refused
    Guards against callers that hold connections for hours, a byte at a time.
    Given a site of the JSON path
    When a caller sends the head of a request and a byte of its body each 20 seconds
    Then the caller is answered 408 within 40 seconds, and its connection is closed

  Scenario: A request that arrives in time is answered on a connection that stays
    The opposite case: a slow link, and another request after an idle time.
    Given a site of the JSON path
    When a caller sends two requests, each in parts over 30 seconds
    Then both are answered with 200

  Scenario: A stage answer that drips holds its pieces as long as a silent one
    Guards against bytes that keep a call from its timeout.
    Given a server that sends a byte of its answer a second
    When a stage call of 2.5 seconds at most is made to it
    Then the stage call is lost for "timeout", though it arrived
    And the endless server is not read any more
