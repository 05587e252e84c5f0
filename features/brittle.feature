Feature: Upstreams that fall over when they turn too many requests away

  Scenario Outline: Hosts spare brittle upstreams: <hosts> hosts, <load> of the capacity, seed <seed>
    Guards against load that fells the upstreams again and again and serves nobody.
    Four fifths of what they can run are to be served.
    Given <hosts> hosts and as many upstreams that bear <limit> refusals a second
    When requests for <load> of their capacity arrive for 10 seconds, seed <seed>
    Then from second 4 on the upstreams fall over no more often than is allowed
    And at least <served> of the requests are served

    Examples:
      | hosts | limit | load | seed | served |
      | 9     | 3     | 0.7  | 1    | 0.95   |
      | 9     | 3     | 1.0  | 2    | 0.8    |
      | 9     | 0     | 1.5  | 3    | 0.53   |
      | 9     | 20    | 1.5  | 1    | 0.53   |

  Scenario: Hosts use sound upstreams as before
    The opposite case: without a statement a burst may fill all places.
    Given 9 hosts and as many upstreams that bear any number of refusals
    When requests for 1.5 of their capacity arrive for 8 seconds, seed 1
    Then no request waits or is refused for a place

  Scenario: A service that is sound again is used as before
    Guards against a limit that stays after its reason has gone.
    Given 9 hosts and as many upstreams that bear 3 refusals a second
    When requests for 0.5 of their capacity arrive for 4 seconds, seed 1
    And the upstreams become sound, and as many arrive for 4 seconds, seed 2
    Then no host takes the service for brittle
