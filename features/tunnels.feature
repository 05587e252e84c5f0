Feature: Connections to upstreams through a peer

  Scenario Outline: How an answer without framing ends, through a peer
    Guards against a peer whose end is taken for the end of the answer.
    Given a host that reaches its upstream through a peer
    When the upstream sends "half" without framing and <end>
    Then the answer through the peer ends as <how> after "half"

    Examples:
      | end                         | how    |
      | closes its connection       | closed |
      | resets its connection       | broken |
      | the process of the peer ends | broken |

  Scenario: A large answer through a peer is complete
    Given a host that reaches its upstream through a peer
    When the upstream sends 3000000 bytes in chunks
    Then the answer through the peer is complete

  Scenario: A request that is given up leaves no connection at the upstream
    Guards against upstreams that work on for callers who have left.
    Given a host that reaches its upstream through a peer
    When the host gives up a request that the upstream does not answer
    Then the upstream's connection ends, and the peer has none left

  Scenario: A connection that is not picked up is closed
    Guards against upstreams whose connections peers hold for nobody.
    Given a host that reaches its upstream through a peer
    When the host asks for a connection and does not pick it up
    Then the upstream's connection ends, and the peer has none left

  Scenario: A leaving peer opens no connections, and those in use go on
    Guards against answers that end with the process of a peer that is replaced.
    Given a host that reaches its upstream through a peer
    When the peer leaves while the upstream answers a request
    Then the answer through the peer ends as closed after "half"
    And the peer opens no further connection

  Scenario: A peer leaves while another one is asked
    Guards against a request that waits for good as the list of hosts changes.
    Given a host that reaches its upstream through a peer
    When the first of two peers is asked, and the other one leaves meanwhile
    Then the host learns that no peer reaches the upstream

  Scenario Outline: Peers that differ about an upstream: <first>, then <second>
    Guards against a peer without a path that is believed as it was refused.
    Given a host that reaches its upstream through a peer
    When the first peer that is asked answers <first>, and the other one <second>
    Then the host learns that the upstream is <result>

    Examples:
      | first       | second      | result      |
      | refused     | opened      | opened      |
      | refused     | refused     | refused     |
      | refused     | unreachable | refused     |
      | unreachable | refused     | refused     |
      | cutOff      | refused     | refused     |
      | refused     | cutOff      | refused     |
      | unreachable | unreachable | unreachable |

  Scenario: A peer that was refused where another one was not rests
    Guards against connections that begin with a peer that has lost its path.
    Given a host that reaches its upstream through a peer
    When the first peer that is asked answers refused, and the other one opened
    Then the next connection is opened by the other peer alone

  Scenario Outline: What a stranger sends to the port for peers
    Guards against requests of others that reach upstreams through a host.
    Given a host that reaches its upstream through a peer
    When a stranger sends <bytes> to the peer's port
    Then the peer closes the stranger's connection
    And the upstream got nothing from the stranger

    Examples:
      | bytes          |
      | a request      |
      | a wrong token  |
      | nothing        |

  Scenario Outline: A service that is down for all hosts moves no load to peers
    The opposite case: a failed connection alone doesn't show a lost path.
    Given a forwarding fleet of the hosts "one,two,three"
    When the engine <fails> for all hosts, and 4 drafts are sent to each
    Then no path counts as lost, and no connection is opened for a peer

    Examples:
      | fails   |
      | hangs   |
      | refuses |

  Scenario: A host without lost paths asks no peer
    The opposite case: on a sound day nothing goes through peers.
    Given a forwarding fleet of the hosts "one,two,three"
    When 4 drafts are sent to each forwarding host
    Then all 12 drafts are answered completely
    And no path counts as lost, and no connection is opened for a peer

  Scenario: A host uses its own paths again once they are whole
    Guards against a detour that stays after its reason has gone.
    Given a forwarding fleet of the hosts "one,two,three"
    When host "one" loses its paths to all upstreams, which refuse
    Then its drafts are served after at most 6 that are not
    When the paths of host "one" are whole again
    Then its drafts are served without a peer within 200

  Scenario: Connections to upstreams have no TCP limits of their own
    Guards against a library that sets a limit by which a silent connection ends.
    Given a host that reaches its upstream through a peer
    When the host opens a connection to the upstream itself
    Then it has no TCP_USER_TIMEOUT and no keep-alive
