Feature: random faults of the fleet

  Scenario Outline: The fleet survives random faults and converges after them
    Hosts fail and return, domains lose the connection to each other and to the
    platform, the platform fails, upstreams leave, fail and are replaced, and
    configurations are applied, at random times, several at once.
    Given a random fleet of <hosts> hosts with seed <seed>
    When <steps> random faults occur in the random fleet
    Then no host of the random fleet ever returned to a lower version
    And no reachable host of the random fleet gave work 3 s after leaving
    When all faults of the random fleet are cleared for 40 seconds
    Then the hosts of the random fleet agree on everything

    Examples:
      | hosts | seed | steps |
      | 9     | 150  | 50    |
      | 6     | 121  | 50    |
      | 9     | 1    | 30    |
      | 4     | 104  | 30    |
