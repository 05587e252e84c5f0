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

  Scenario Outline: A host sends nothing to an upstream that has asked it for rest: <share> of requests, <rest> s
    Each host backs off by a rule of its own, whatever the upstream has asked for.
    Given 9 hosts and 9 upstreams in 4 failure domains that may leave or ask for rest
    When an upstream turns <share> of its requests away and asks for <rest> seconds of rest, with 100 requests a second for 9 seconds
    Then from <since> seconds after such an answer at most <most> requests of that host reach it in the time

    Examples:
      | share | rest | since | most |
      | 0.4   | 3    | 0.5   | 2    |
      | 1     | 3    | 0.5   | 2    |
      | 0.4   | 3    | 0.1   | 0    |
      | 1     | 1.5  | 0.1   | 0    |
