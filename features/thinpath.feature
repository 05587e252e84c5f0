Feature: One request through separate processes

  Scenario: One of six entry hosts is killed during a request
    A dispatcher streams a draft while the host that serves it is killed. The
    dispatcher sees the connection break, never a truncated answer that looks
    complete. It retries at another host, which answers. The killed process had
    no chance to shut down, and none of its state was kept.

    Given the upstreams of "examples/kowalczyk.yaml" run as a thin path process
    And the object API runs as a thin path process
    And the manifest is applied over the command line
    And 6 entry hosts run as thin path processes
    When each entry host is called once with the thin path
    Then every thin path answer is complete
    When a stream at the first entry host has begun and the host is killed
    Then that caller's thin path answer is cut off and incomplete
    When the same request is sent to the second entry host
    Then every thin path answer is complete
    And the remaining entry hosts report no broken invariant

  Scenario: A stopping entry host finishes its stream
    A volunteer restarts a host during a draft. The host reports at once that
    it is not ready, and the draft is completed before the process ends.

    Given the upstreams of "examples/kowalczyk.yaml" run as a thin path process
    And the object API runs as a thin path process
    And the manifest is applied over the command line
    And 1 entry hosts run as thin path processes
    When a stream at the first entry host has begun and the host is stopped
    Then every thin path answer is complete
    And the first entry host's process ends with code 0
