Feature: One request through separate processes

  Scenario: six entry hosts serve, and one dies in mid-request
    A dispatcher streams a draft while the host that serves it is killed. The
    dispatcher sees the connection break, never a short answer that looks
    whole, and asks again at another host, which answers. The process was
    killed without a word; nothing of it was kept.

    Given the upstreams of "examples/kowalczyk.yaml" run as a thin path process
    And the object API runs as a thin path process
    And the manifest is applied over the command line
    And 6 entry hosts run as thin path processes
    When each entry host is called once with the thin path
    Then every thin path answer is whole
    When a stream at the first entry host has begun and the host is killed
    Then that caller's thin path answer is broken off and not whole
    When the same request is sent to the second entry host
    Then every thin path answer is whole
    And the remaining entry hosts report no broken invariant

  Scenario: an entry host told to stop finishes its stream
    A volunteer restarts a host during a draft. The host says at once that it
    is not ready, and the draft arrives whole before the process ends.

    Given the upstreams of "examples/kowalczyk.yaml" run as a thin path process
    And the object API runs as a thin path process
    And the manifest is applied over the command line
    And 1 entry hosts run as thin path processes
    When a stream at the first entry host has begun and the host is told to stop
    Then every thin path answer is whole
    And the first entry host's process ends with code 0
