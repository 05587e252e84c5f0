Feature: failure domains that a host can't reach

  Scenario: Timeouts at two upstreams of a domain speak against the whole domain
    Guards against requests that each lose a connection timeout in a domain
    that is cut off.
    Given a host in "a" with 16 upstreams in each of "a,b,c"
    When connections to 1 upstream of "b" time out
    Then the upstreams of "a,b,c" are chosen from
    When connections to 2 upstreams of "b" time out
    Then the upstreams of "a,c" are chosen from

  Scenario Outline: A domain is not given up while <case>
    Guards against a domain that gets no requests though it is reached.
    Given a host in "<own>" with <count> upstreams in each of "a,b,c"
    When connections to 1 upstream of "b" time out
    And <meanwhile>
    And connections to 2 upstreams of "b" time out one after the other
    Then the upstreams of "a,b,c" are chosen from

    Examples:
      | case                         | own | count | meanwhile                |
      | it is the host's own         | b   | 16    | 0.0 seconds pass         |
      | it has few upstreams         | a   | 15    | 0.0 seconds pass         |
      | other connections are opened | a   | 16    | each timeout is followed by a connection |
      | the timeouts lie far apart   | a   | 16    | each timeout is followed by 5.5 seconds |

  Scenario: A probe finds that a domain is reached again
    Guards against a domain that stays empty after the network is mended.
    Given a host in "a" with 16 upstreams in each of "a,b,c"
    When connections to 2 upstreams of "b" time out
    And the network to "b" is mended
    And 1.1 seconds pass
    Then the upstreams of "a,b,c" are chosen from

  Scenario: A host that reaches no other domain uses all upstreams of a service
    Guards against requests that are refused for a wrong judgement.
    Given a host in "a" with 16 upstreams in each of "b,c"
    When connections to 2 upstreams of "b" time out
    And connections to 2 upstreams of "c" time out
    Then the upstreams of "b,c" are chosen from

  Scenario: Thirty hosts under load lose few connections to a domain that is cut off
    Each sends two requests a second for six seconds of a cut and two after it.
    Guards against a third of all requests that wait for the cut domain.
    Given 30 hosts in "a" with 20 upstreams in each of "a,b,c"
    When "b" is cut off from them for 6.0 seconds under load
    Then no host waits for more than 2 timeouts
    And the upstreams of "b" get a fifth of the sends or more after the cut
