Feature: crashes: which upstreams have ended, and what they were running

  Scenario: The upstreams that ended under a request can be told from its line
    Lines named the attempt, which is new each time that a request comes again.
    Given a forwarded "resumable" request
    When the upstream of forwarded send 0 resets it and refuses connections
    Then the upstream of forwarded send 0 is logged as crashed under the request

  Scenario: A reset alone is no crash
    Connections are reset by what lies between, and answers are spoilt.
    Given a forwarded "resumable" request
    When the connection of forwarded send 0 breaks
    Then no upstream is logged as crashed

  Scenario: An upstream that leaves may end
    A release ends one upstream after the other, with what is still under way.
    Given a forwarded "resumable" request
    And the upstream of forwarded send 0 leaves
    When the upstream of forwarded send 0 resets it and refuses connections
    Then no upstream is logged as crashed

  Scenario: An upstream that goes on with other requests has not ended
    A full one refuses connections, and what it has goes on.
    Given a forwarded "resumable" request
    And another request is in flight at the upstream of forwarded send 0
    When the upstream of forwarded send 0 resets it and refuses connections
    And 0.3 seconds pass for the forwarded request
    Then no upstream is logged as crashed

  Scenario: A cut-off upstream is not taken for one that ended
    Given a forwarded "resumable" request
    When the connection of forwarded send 0 breaks, and a probe gets no answer
    Then no upstream is logged as crashed

  Scenario: A fingerprint tells nobody what was asked
    Of a request's body and key nothing may stand in logs or go between hosts.
    Given two fleets with different keys
    Then the same request has a different fingerprint in each
    And requests of another team, target or body differ within one
