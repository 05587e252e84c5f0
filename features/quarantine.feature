Feature: quarantine: requests that crash the upstreams that run them

  Scenario Outline: A <route> request that crashes its upstreams is kept from them
    Its caller comes again and again at all hosts, and each time one upstream or
    two end, with all that they run for others.
    Given 9 hosts and 9 upstreams in 4 failure domains, for <route> requests
    When a deadly request comes each 0.5 seconds for 15 seconds, at all hosts in turn
    Then from 3 seconds after its third crash on it reached upstreams at most 3 times more
    And at most 6 upstreams have ended

    Examples:
      | route    |
      | resumed  |
      | repeated |
      | once     |
