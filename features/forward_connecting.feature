Feature: Connections to upstreams are given up in time

  Scenario Outline: A host that stood still while it connected does not blame its upstream
    Guards against refusals and doubts about upstreams after a pause of the host.
    Given a forwarding host that connects to an upstream
    When the host stands still for <seconds> s
    And then reads for 0.05 s
    Then the connection to the upstream was opened

    Examples:
      | seconds |
      | 0.2     |
      | 0.36    |
      | 0.5     |
      | 30      |

  Scenario Outline: An upstream that accepts no connection is given up
    The opposite case: a host waits once, and no longer than before.
    Given a forwarding host that connects to an upstream that never accepts
    When its clock goes on in steps of <step> s for <seconds> s
    Then the connection to the upstream is <state>

    Examples:
      | step | seconds | state    |
      | 0.05 | 0.3     | awaited  |
      | 0.05 | 0.35    | given up |
      | 0.5  | 0.5     | awaited  |
      | 0.5  | 1.0     | given up |
