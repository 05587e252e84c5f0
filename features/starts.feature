Feature: many hosts start at the same time

  Scenario Outline: A host indexes the upstreams of a list once: <upstreams>
    Guards against starts whose work grows with the square of the fleet.
    Given a store with <upstreams> upstreams and <hosts> registered hosts
    When a host starts there
    Then it knows them all
    And the parts of the host are told of changes of upstreams at most 4 times
    And the parts of the host are told of changes of hosts at most 6 times

    Examples:
      | upstreams | hosts |
      | 20        | 5     |
      | 950       | 340   |
