Feature: graceful shutdown over real connections

  Scenario: Shutdown finishes a stream that is in flight
    A caller has two tokens of six when its entry host is told to stop. It
    gets the other four and the end of the stream, and only the connection's
    end tells it that the host has gone.
    Given a shutdown host that listens
    When a shutdown caller asks for "chat"
    And the shutdown clock goes on by 0.065 seconds
    Then the shutdown caller has 2 tokens
    When the shutdown host is told to stop
    And the shutdown clock goes on by 2.5 seconds
    Then the shutdown caller has 6 tokens and the whole answer
    And the shutdown host has stopped

  Scenario: Shutdown waits for a stream that is longer than the lame-duck time
    The engine has not given its first token when the lame-duck time is over.
    Given a shutdown host that listens
    And the shutdown engine takes 100 times as long
    When a shutdown caller asks for "chat"
    And the shutdown host is told to stop
    And the shutdown clock goes on by 3 seconds
    Then the shutdown caller has 0 tokens
    And the shutdown host has not stopped
    When the shutdown clock goes on by 10 seconds
    Then the shutdown caller has 6 tokens and the whole answer
    And the shutdown host has stopped

  Scenario: Shutdown refuses what is new as not run, and goes on listening
    The balancer sends requests to the host for a while yet. Each is told to
    go elsewhere, and its connection is closed so that none is kept.
    Given a shutdown host that listens
    When the shutdown host is told to stop
    And a shutdown caller asks for "chat"
    And the shutdown clock goes on by 0.5 seconds
    Then the shutdown caller was told 503 "not-run", and its connection ended
    When the shutdown clock goes on by 2 seconds
    Then the shutdown host refuses connections
    And the shutdown host has stopped

  Scenario: Shutdown waits for a caller that reads slowly
    The answer of 3 MB was handed to the connection, but the caller has not
    read it yet. A process that ends now takes what the kernel was not given
    with it.
    Given a shutdown host that listens
    When a shutdown caller that does not read asks for 3000000 bytes
    And the shutdown clock goes on by 1 seconds
    And the shutdown host is told to stop
    And the shutdown clock goes on by 3 seconds
    Then the shutdown host has not stopped
    When the shutdown caller reads on
    Then the shutdown caller gets 3000000 bytes and the end of the stream
    And the shutdown host has stopped

  Scenario: Shutdown without the wait for connections would cut that caller off
    The same, with the guard taken away: the host has stopped while the caller
    has read nothing.
    Given a shutdown host that listens
    And the shutdown host does not wait for connections
    When a shutdown caller that does not read asks for 3000000 bytes
    And the shutdown clock goes on by 1 seconds
    And the shutdown host is told to stop
    And the shutdown clock goes on by 3 seconds
    Then the shutdown host has stopped

  Scenario: Shutdown is not held up for good by a caller that never reads
    A caller has stopped in the middle of its answer. The host must leave all
    the same.
    Given a shutdown host that listens
    When a shutdown caller that does not read asks for 3000000 bytes
    And the shutdown clock goes on by 1 seconds
    And the shutdown host is told to stop
    And the shutdown clock goes on by 3 seconds
    And the shutdown clock goes on by 31 seconds
    Then the shutdown host has stopped
    And the shutdown host logged "callers-cut-off"

  Scenario: Shutdown closes idle kept connections
    A caller keeps its connection open for later requests. The host can't
    wait for it to close, and nothing is in flight on it.
    Given a shutdown host that listens
    When a shutdown caller asks for "chat"
    And the shutdown clock goes on by 1 seconds
    And the shutdown host is told to stop
    And the shutdown clock goes on by 3 seconds
    Then the shutdown caller has 6 tokens and the whole answer
    And the shutdown host has stopped

  Scenario: Shutdown finishes a claim that is on its way
    The key's claim is being written when the host is told to stop. The
    request was accepted: it is claimed, run and answered.
    Given a shutdown host that listens
    When a shutdown caller sends key "k" to "log-minutes"
    And the shutdown host is told to stop
    And the shutdown clock goes on by 3 seconds
    Then the shutdown caller has 0 tokens and the whole answer
    And the shutdown host has stopped

  Scenario: Shutdown writes the release of a key that did not run
    The service refuses the call, so the caller may use its key again, at
    another host. A release that was not written would leave it unknown.
    Given a shutdown host that listens
    And the shutdown service refuses
    When a shutdown caller sends key "k" to "log-minutes"
    And the shutdown clock goes on by 0.01 seconds
    And the shutdown host is told to stop
    And the shutdown clock goes on by 3 seconds
    Then the shutdown host has stopped
    And the shutdown store has 1 claim and 1 release of a key

  Scenario: Shutdown with the store down still ends
    The answer to the claim is lost, and the store is gone. The claim can't be
    settled or released. The host has to leave; the key stays unknown for its
    window, which is true.
    Given a shutdown host that listens
    And the shutdown service refuses
    When a shutdown caller sends key "k" to "log-minutes"
    And the shutdown clock goes on by 0.01 seconds
    And the shutdown store goes down
    And the shutdown host is told to stop
    And the shutdown clock goes on by 3 seconds
    And the shutdown clock goes on by 6 seconds
    Then the shutdown host has stopped
