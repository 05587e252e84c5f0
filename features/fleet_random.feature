Feature: random faults of the fleet

  Scenario Outline: The fleet survives random faults and agrees after them
    Hosts die and come back, domains lose each other and the platform, the
    platform goes down, upstreams leave, die and are replaced, and
    configurations are applied, at random moments, several at once.
    Given a random fleet of <hosts> hosts with seed <seed>
    When <steps> random faults strike the random fleet
    Then no host of the random fleet ever went back to a lower version
    And no reached host of the random fleet gave work 3 s after leaving
    When all faults of the random fleet are healed for 40 seconds
    Then the hosts of the random fleet agree on everything

    Examples:
      | hosts | seed | steps |
      | 9     | 150  | 50    |
      | 6     | 121  | 50    |
      | 9     | 1    | 30    |
      | 4     | 104  | 30    |
