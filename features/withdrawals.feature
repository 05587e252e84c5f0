Feature: whole hosts whose upstreams leave or ask for rest

  Scenario Outline: Nothing is sent to an upstream that has said that it leaves: <fault>
    Its entry in the registry is late, or the store is away, and only its answers say so.
    Given 9 hosts and 9 upstreams in 4 failure domains that may leave or ask for rest
    And the fault "<fault>" while an upstream leaves
    When answers of an upstream say that it leaves, with 60 requests a second for 8 seconds
    Then nothing reaches it from a host over 2 seconds after that host's answer

    Examples:
      | fault      |
      | none       |
      | store away |
