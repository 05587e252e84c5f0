Feature: platform client and stand-ins over real HTTP

  Scenario: The platform's object API over loopback keeps its promises
    Given a platform server on the loopback
    Then over HTTP the platform store creates, conflicts, reads and deletes
    And over HTTP the platform store lists pages and names with slashes
    And over HTTP a platform watch sees a change while it waits
    And over HTTP a compacted platform watch is told so
    And over HTTP a platform value above the limit is refused

  Scenario: A platform write over HTTP whose answer is lost is settled
    The server applies the write and its connection breaks before the answer.
    The client sees a broken connection and has to read back.
    Given a platform server on the loopback
    And the platform store loses the next answer
    Then a bare platform put over HTTP is "InDoubt" and a settled one "Written"

  Scenario: A refused platform connection is not in doubt
    Nobody listens: no byte was sent, and the caller may be told so.
    Given a platform server on the loopback that has ended
    Then a bare platform put over HTTP is "NotApplied"
    And a platform read over HTTP is "Unavailable"

  Scenario: A platform server that takes calls and never answers
    The connection opens and goes silent. A write may have arrived; a read
    just failed. Both come back when the client's own clock says so, and the
    silent connections are aborted.
    Given a silent platform server on the loopback
    Then platform calls over HTTP time out as "InDoubt" and "Unavailable"
    And the silent platform server has lost its connections

  Scenario: Kept platform connections that went silent cost one timeout
    Something on the way has lost track of all open connections, while new
    ones work. If each kept one were tried in turn, the host would be without
    answers for as many timeouts as it keeps connections.
    Given a platform server that knows two kept connections no more
    Then the first platform read over HTTP waits for its timeout
    And the next platform read over HTTP is answered at once

  Scenario: A balancer's own page is no platform answer
    A balancer without a route answers 404 with a page of its own. Taken for
    the object's absence, it would make a host drop its configuration.
    Given a platform server that answers 404 with a page of its own
    Then a platform read over HTTP is "Unavailable"

  Scenario: A platform answer without end is cut off
    Something on the way answers with bytes that never end. Kept until the
    end, they would fill the host's memory.
    Given a platform server that answers 200 with 5 million bytes
    Then a raw platform call over HTTP is broken off
    And a platform read over HTTP is "Unavailable"

  Scenario: A platform answer that comes in slowly
    A large answer takes four seconds on a link that is full. Given up after
    its time, it would be asked for again, and come again from its start.
    Given a platform server that answers in parts
    When a raw platform call over HTTP with 1 second begins to be answered
    And 4 further parts come, 0.9 seconds apart
    Then an answer is coming in
    When the last part comes
    Then the raw platform call over HTTP has its whole answer
    And no answer is coming in

  Scenario: A platform answer that stops half-way
    Given a platform server that answers in parts
    When a raw platform call over HTTP with 1 second begins to be answered
    And no further part comes for 1.1 seconds
    Then the raw platform call over HTTP timed out

  Scenario: A platform answer that never ends
    Each part comes in time. Waited for without end, it would keep a host from
    its next read for good.
    Given a platform server that answers in parts
    When a raw platform call over HTTP with 1 second begins to be answered
    And 13 further parts come, 0.9 seconds apart
    Then the raw platform call over HTTP timed out

  Scenario: Host list and weight store over loopback
    Given a platform server on the loopback
    Then over HTTP the platform's host list shows a change after its lag
    And over HTTP the platform's weight store throttles by its rate
