Feature: hosts that hear of upstreams late keep streams to their versions

  Scenario: A watch that is late is told from one without changes
    Guards against a host that is behind, and of which no line or gauge shows it.
    Given a host that watches a kind and reads another one five times a second
    When its watch is answered 0.8 s late
    Then it logs a late watch of at least 500 ms
    When its watch is answered in time
    Then it logs no more late watches
