Feature: graceful shutdown over real connections

  Scenario: Shutdown finishes a stream that is in flight
    A caller has received two of six tokens when its entry host gets the stop
    signal. It receives the other four and the end of the stream before the
    connection is closed.
    Given a shutdown host that listens
    When a shutdown caller asks for "chat"
    And the shutdown clock advances by 0.065 seconds
    Then the shutdown caller has 2 tokens
    When the shutdown host gets the stop signal
    And the shutdown clock advances by 2.5 seconds
    Then the shutdown caller has 6 tokens and the complete answer
    And the shutdown host has stopped

  Scenario: Shutdown waits for a stream that is longer than the lame-duck time
    The engine has not sent its first token when the lame-duck time ends.
    Given a shutdown host that listens
    And the shutdown engine takes 100 times as long
    When a shutdown caller asks for "chat"
    And the shutdown host gets the stop signal
    And the shutdown clock advances by 3 seconds
    Then the shutdown caller has 0 tokens
    And the shutdown host has not stopped
    When the shutdown clock advances by 10 seconds
    Then the shutdown caller has 6 tokens and the complete answer
    And the shutdown host has stopped

  Scenario: Shutdown refuses what is new as not run, and goes on listening
    The load balancer still sends requests to the host for a while. Each is
    refused as not run, and its connection is closed so that it is not reused.
    Given a shutdown host that listens
    When the shutdown host gets the stop signal
    And a shutdown caller asks for "chat"
    And the shutdown clock advances by 0.5 seconds
    Then the shutdown caller received 503 "not-run", and its connection ended
    When the shutdown clock advances by 2 seconds
    Then the shutdown host refuses connections
    And the shutdown host has stopped

  Scenario: Shutdown waits for a caller that reads slowly
    An answer of 3 MB is in the connection's write buffer, but the caller has
    not read it yet. If the process exited now, the bytes that were not yet
    written to the kernel would be lost.
    Given a shutdown host that listens
    When a shutdown caller that does not read asks for 3000000 bytes
    And the shutdown clock advances by 1 seconds
    And the shutdown host gets the stop signal
    And the shutdown clock advances by 3 seconds
    Then the shutdown host has not stopped
    When the shutdown caller resumes reading
    Then the shutdown caller gets 3000000 bytes and the end of the stream
    And the shutdown host has stopped

  Scenario: Shutdown without the wait for connections would cut that caller off
    The same scenario without the guard: the host stops before the caller has
    read anything.
    Given a shutdown host that listens
    And the shutdown host does not wait for connections
    When a shutdown caller that does not read asks for 3000000 bytes
    And the shutdown clock advances by 1 seconds
    And the shutdown host gets the stop signal
    And the shutdown clock advances by 3 seconds
    Then the shutdown host has stopped

  Scenario: Shutdown is not blocked forever by a caller that never reads
    A caller stops reading in the middle of its answer. The host must still
    stop.
    Given a shutdown host that listens
    When a shutdown caller that does not read asks for 3000000 bytes
    And the shutdown clock advances by 1 seconds
    And the shutdown host gets the stop signal
    And the shutdown clock advances by 3 seconds
    And the shutdown clock advances by 31 seconds
    Then the shutdown host has stopped
    And the shutdown host logged "callers-cut-off"

  Scenario: Shutdown closes idle persistent connections
    A caller keeps its connection open for later requests. Nothing is in
    flight on it, and the host must not wait until the caller closes it.
    Given a shutdown host that listens
    When a shutdown caller asks for "chat"
    And the shutdown clock advances by 1 seconds
    And the shutdown host gets the stop signal
    And the shutdown clock advances by 3 seconds
    Then the shutdown caller has 6 tokens and the complete answer
    And the shutdown host has stopped

  Scenario: Shutdown finishes a claim that is being written
    The key's claim is being written when the host gets the stop signal. The
    request was accepted, so it is claimed, run and answered.
    Given a shutdown host that listens
    When a shutdown caller sends key "k" to "log-minutes"
    And the shutdown host gets the stop signal
    And the shutdown clock advances by 3 seconds
    Then the shutdown caller has 0 tokens and the complete answer
    And the shutdown host has stopped

  Scenario: Shutdown writes the release of a key that did not run
    The service refuses the call, so the caller may use its key again at
    another host. Without the written release the key's outcome would stay
    unknown.
    Given a shutdown host that listens
    And the shutdown service refuses
    When a shutdown caller sends key "k" to "log-minutes"
    And the shutdown clock advances by 0.01 seconds
    And the shutdown host gets the stop signal
    And the shutdown clock advances by 3 seconds
    Then the shutdown host has stopped
    And the shutdown store has 1 claim and 1 release of a key

  Scenario: Shutdown completes while the store is down
    The answer to the claim is lost, and the store is down. The claim can
    neither be settled nor released. The host must stop; the key's outcome
    stays unknown for its window, which is correct.
    Given a shutdown host that listens
    And the shutdown service refuses
    When a shutdown caller sends key "k" to "log-minutes"
    And the shutdown clock advances by 0.01 seconds
    And the shutdown store goes down
    And the shutdown host gets the stop signal
    And the shutdown clock advances by 3 seconds
    And the shutdown clock advances by 6 seconds
    Then the shutdown host has stopped
