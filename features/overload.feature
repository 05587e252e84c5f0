Feature: overload: a host that gets more requests than it has processor time for

  Scenario: A host whose loop runs late closes most new connections unread
    It read all that came and served it late, with the processor full.
    Given a host that accepts callers
    When its loop runs 0.3 seconds late for 3 seconds
    Then it closes at least 8 of 10 new connections unread
    And it logs that it is overloaded once

  Scenario Outline: A loop that is late for another reason closes no connection: <reason>
    Given a host that accepts callers
    When its loop runs <late> seconds late, each <pause> seconds, for <seconds> seconds
    Then it accepts 10 of 10 new connections

    Examples:
      | reason                             | late | pause | seconds |
      | a large configuration              | 0.8  | 2.0   | 10      |
      | a process that was suspended       | 8.0  | 20.0  | 60      |
      | a processor that is granted in slices | 0.08 | 0.05  | 10      |

  Scenario: A host accepts all connections again once its loop is in time
    Given a host that accepts callers
    When its loop runs 0.3 seconds late for 3 seconds
    And its loop is in time for 6 seconds
    Then it accepts 10 of 10 new connections

  Scenario: An overloaded host goes on accepting a few connections
    If it closed all of them, a fleet that is too small would serve nobody.
    Given a host that accepts callers
    When its loop runs 0.3 seconds late for 30 seconds
    Then it accepts at least 4 of 100 new connections

  Scenario: Connections are bounded by the descriptors of the process
    Each one may need a connection to an upstream, and the store needs one too.
    Given a host that accepts callers, with 300 descriptors
    When 100 callers are connected
    Then it closes at least 10 of 10 new connections unread
