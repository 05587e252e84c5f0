Feature: Hosts without a path to the upstreams

  Scenario Outline: Requests at a host that can't reach any upstream are served
    Guards against callers who are refused as their host has lost its paths.
    Given a forwarding fleet of the hosts "one,two,three"
    When host "<host>" loses its paths to all upstreams, which <how>
    Then its drafts are served after at most 6 that are not
    And no upstream counts as crashed

    Examples:
      | host  | how             |
      | one   | then hang       |
      | two   | then hang       |
      | three | then hang       |
      | one   | refuse          |
      | two   | refuse          |
      | three | refuse          |

  Scenario Outline: The owner of a stage queue that can't reach any upstream
    Guards against requests of all hosts that wait for one host's lost paths.
    Given a forwarding fleet of the hosts "one,two,three"
    When the hosts that send stage calls lose their paths, which <how>
    Then drafts at all hosts are served after at most 6 that are not

    Examples:
      | how       |
      | then hang |
      | refuse    |

  Scenario Outline: Two of three hosts can't reach any upstream
    Guards against hosts that take each other's lost paths for upstreams that are down.
    Given a forwarding fleet of the hosts "one,two,three"
    When the hosts "<hosts>" lose their paths, which <how>
    Then drafts at all hosts are served after at most 6 that are not
    And no upstream counts as crashed

    Examples:
      | hosts     | how       |
      | one,two   | refuse    |
      | one,three | refuse    |
      | two,three | refuse    |
      | one,three | then hang |
