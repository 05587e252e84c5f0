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

  Scenario Outline: All hosts stop sending soon after the first answer that says so: <fault>, <hosts> hosts
    A host that has had no such answer learns it from another one.
    Given <hosts> hosts and 9 upstreams in <domains> failure domains that may leave or ask for rest
    And the fault "<fault>" while an upstream leaves
    When answers of an upstream say that it leaves, with 60 requests a second for 8 seconds
    Then nothing reaches it from any host over <seconds> seconds after the first such answer

    Examples:
      | hosts | domains | fault         | seconds |
      | 9     | 4       | none          | 1       |
      | 9     | 4       | store away    | 1       |
      | 9     | 4       | store slow    | 1       |
      | 9     | 4       | readers ended | 1       |
      | 30    | 3       | store away    | 1       |

  Scenario: A host that starts learns which upstreams leave
    Given 9 hosts and 9 upstreams in 4 failure domains that may leave or ask for rest
    When one host is told that an upstream leaves
    And another host joins the hosts
    Then all hosts know within 2 seconds that it leaves

  Scenario: An entry that states that it is ready does not undo what an answer has said
    The store is slow, or its entry was written before the upstream began to leave.
    Given 9 hosts and 9 upstreams in 4 failure domains that may leave or ask for rest
    When one host is told that an upstream leaves
    And its entry is deleted, and written again as ready
    Then no host sends anything to it in 4 seconds

  Scenario: The next incarnation at the address of one that left is free
    Given 9 hosts and 9 upstreams in 4 failure domains that may leave or ask for rest
    When answers of an upstream say that it leaves, with 60 requests a second for 2 seconds
    And it ends, and another incarnation starts at its address
    Then the new incarnation gets over 4 requests in 2 seconds

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
