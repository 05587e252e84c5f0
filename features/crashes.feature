Feature: detection of crashed upstreams and of the requests that they ran

  Scenario: The log line of a crash names the request that was running
    Lines named the attempt, which differs each time that a caller retries.
    Given a forwarded "resumable" request
    When the upstream of forwarded send 0 resets it and refuses connections
    Then the upstream of forwarded send 0 is logged as crashed under the request

  Scenario: The log lines of a send and of a crash name the parts of the prompt
    Requests that differ in all else may share the part that crashes upstreams.
    Given a forwarded "resumable" request with the prompt parts "a" and "b"
    When the upstream of forwarded send 0 resets it and refuses connections
    Then the lines of the send and of the crash name the same parts

  Scenario: A reset alone is not a crash
    The network resets connections, and answers are corrupted on the way.
    Given a forwarded "resumable" request
    When the connection of forwarded send 0 breaks
    Then no upstream is logged as crashed

  Scenario: The end of a leaving upstream is not a crash
    A rollout ends one upstream after the other, with requests still in flight.
    Given a forwarded "resumable" request
    And the upstream of forwarded send 0 leaves
    When the upstream of forwarded send 0 resets it and refuses connections
    Then no upstream is logged as crashed

  Scenario: An upstream that continues with other requests has not crashed
    A full upstream refuses connections and continues with accepted requests.
    Given a forwarded "resumable" request
    And another request is in flight at the upstream of forwarded send 0
    When the upstream of forwarded send 0 resets it and refuses connections
    And 0.3 seconds pass for the forwarded request
    Then no upstream is logged as crashed

  Scenario: An unreachable upstream does not count as crashed
    Given a forwarded "resumable" request
    When the connection of forwarded send 0 breaks, and a probe gets no answer
    Then no upstream is logged as crashed

  Scenario: A fingerprint does not reveal the request
    No part of a request's body or key may be logged or sent between hosts.
    Given two fleets with different keys
    Then the same request has a different fingerprint in each
    And requests of another team, target or body differ within one
