Feature: platform client and stand-ins over real HTTP

  Scenario: The platform's object API over loopback follows its protocol
    Given a platform server on the loopback
    Then over HTTP the platform store creates, conflicts, reads and deletes
    And over HTTP the platform store lists pages and names with slashes
    And over HTTP a platform watch sees a change while it waits
    And over HTTP a platform watch from a compacted revision is rejected
    And over HTTP a platform value above the limit is refused

  Scenario: A platform write over HTTP is read back after a lost response
    The server applies the write, and the connection is lost before the
    response. The client only sees the lost connection and has to read back.
    Given a platform server on the loopback
    And the platform store loses the next response
    Then a single platform put over HTTP is "InDoubt" and one with read-back "Written"

  Scenario: A refused platform connection is not in doubt
    The port is closed: no byte was sent, so the write was not applied.
    Given a platform server on the loopback that has stopped
    Then a single platform put over HTTP is "NotApplied"
    And a platform read over HTTP is "Unavailable"

  Scenario: A platform server that accepts calls and never answers
    The connection opens and no response arrives. The write may have been
    received; the read has failed. Both end at the timeout of the client, which
    aborts the connections.
    Given a silent platform server on the loopback
    Then platform calls over HTTP time out as "InDoubt" and "Unavailable"
    And the connections of the silent platform server are closed

  Scenario: Dead platform connections cost a read no timeout
    A middlebox has dropped the state of all open connections, while new ones
    work. A read on one of those that were open would wait for its timeout.
    Given a platform server that has lost two connections
    Then the next platform read over HTTP is answered immediately

  Scenario: An error page of a load balancer is not a platform response
    A load balancer without a route answers 404 with an HTML page. If that were
    read as an absent object, a host would drop its configuration.
    Given a platform server that answers 404 with an HTML page
    Then a platform read over HTTP is "Unavailable"

  Scenario: A platform response without end is aborted
    A server on the path answers with an endless body. Buffering it would fill
    the memory of the host.
    Given a platform server that answers 200 with 5 million bytes
    Then a raw platform call over HTTP is aborted
    And a platform read over HTTP is "Unavailable"

  Scenario: A platform response that arrives slowly
    A large response takes four seconds on a saturated link. If the call timed
    out meanwhile, its retry would transfer the response from the start again.
    Given a platform server that answers in parts
    When a raw platform call over HTTP with 1 second begins to be answered
    And 4 further parts arrive, 0.9 seconds apart
    Then a response body is being received
    When the last part arrives
    Then the raw platform call over HTTP has its complete response
    And no response body is being received

  Scenario: A platform response that stops half-way
    Given a platform server that answers in parts
    When a raw platform call over HTTP with 1 second begins to be answered
    And no further part arrives for 1.1 seconds
    Then the raw platform call over HTTP timed out

  Scenario: A platform response that never ends
    Each part arrives in time. Without a limit in all, the call would keep a
    host from its next read forever.
    Given a platform server that answers in parts
    When a raw platform call over HTTP with 1 second begins to be answered
    And 13 further parts arrive, 0.9 seconds apart
    Then the raw platform call over HTTP timed out

  Scenario: Host list and weight store over loopback
    Given a platform server on the loopback
    Then over HTTP the platform's host list shows a change after its lag
    And over HTTP the platform's weight store throttles by its rate
