Feature: deadly parts: prompt parts that crash the upstreams that answer on them

  Scenario Outline: A part that crashes upstreams is kept from them: <part> of <parts>, <deadly> a second, <hosts> hosts
    No two requests are alike but for this part, so no whole request is met twice.
    Given callers of <hosts> hosts in <domains> failure domains, <sound> sound requests a second
    And <deadly> requests a second hold a part that crashes upstreams, the <part> of <parts>
    When they arrive for <seconds> seconds, by seed <seed>
    Then at most 3 requests with it arrive later than 3 s after its fifth crash
    And sound requests are served at the first try as before
    And no sound request is refused for crashing upstreams

    Examples:
      | hosts | domains | sound | deadly | part   | parts | seconds | seed |
      | 9     | 4       | 12    | 2      | second | 3     | 16      | 1    |
      | 9     | 4       | 12    | 2      | first  | 2     | 16      | 1    |
      | 30    | 3       | 30    | 6      | third  | 4     | 12      | 1    |
      | 9     | 4       | 12    | 6      | third  | 4     | 12      | 2    |
      | 9     | 4       | 12    | 0.3    | second | 3     | 40      | 2    |
      | 30    | 3       | 30    | 15     | third  | 4     | 10      | 2    |

  Scenario Outline: Requests with a new part go to few upstreams: <hosts> hosts, <deadly> a second, seed <seed>
    Before hosts know of a crash, each request would crash an upstream of its own.
    Three moments of crashes blame the part, and three upstreams are its candidates.
    Given callers of <hosts> hosts in <domains> failure domains, <sound> sound requests a second
    And <deadly> requests a second hold a part that crashes upstreams, the third of 4
    When they arrive for 4 seconds, by seed <seed>
    Then at most 9 upstreams have crashed under it

    Examples:
      | hosts | domains | sound | deadly | seed |
      | 30    | 3       | 30    | 15     | 1    |
      | 30    | 3       | 30    | 15     | 2    |
      | 30    | 3       | 30    | 30     | 3    |

  Scenario Outline: A part is kept from upstreams whoever sends it, and how: <what>, seed <seed>
    Callers repeat their requests, and crashes without a cause come beside them.
    Given callers of 9 hosts in 4 failure domains, 12 sound requests a second
    And 2 requests a second hold a part that crashes upstreams, the second of 3
    And "<what>"
    When they arrive for 16 seconds, by seed <seed>
    Then at most 3 requests with it arrive later than 3 s after its fifth crash
    And sound requests are served at the first try as before
    And no sound request is refused for crashing upstreams

    Examples:
      | what                          | seed |
      | five teams                    | 2    |
      | two bodies, again and again   | 2    |
      | repeated requests             | 2    |
      | chance crashes beside it      | 2    |
      | full upstreams                | 1    |

  Scenario: A host that starts again knows which parts to keep from upstreams
    All processes are killed, so the verdict is left in the store alone.
    Given callers of 9 hosts in 4 failure domains, 12 sound requests a second
    And 2 requests a second hold a part that crashes upstreams, the second of 3
    When they arrive for 6 seconds, by seed 1
    And all hosts are killed, and they arrive for 6 seconds more
    Then at most 3 requests with it arrive later than 3 s after its fifth crash

  Scenario Outline: Crashes without a cause blame no part: <hosts> hosts, seed <seed>
    All requests share their first part, and a few share the second.
    Given callers of <hosts> hosts in <domains> failure domains, <sound> sound requests a second
    And <chance> crashes a second come without a cause
    When they arrive for 20 seconds, by seed <seed>
    Then nothing is in quarantine

    Examples:
      | hosts | domains | sound | chance | seed |
      | 9     | 4       | 12    | 0.8    | 1    |
      | 9     | 4       | 12    | 0.8    | 2    |
      | 30    | 3       | 30    | 2      | 1    |

  Scenario: Upstreams that crash under every request blame no part
    A release has gone wrong, and is taken back later.
    Given callers of 9 hosts in 4 failure domains, 12 sound requests a second
    When every request crashes its upstream for 40 seconds
    And requests are sound again for 12 seconds
    Then no part is in quarantine
    And sound requests are served at the end

  Scenario: A rack that fails blames no part that its requests share
    The part is new, so no upstream has answered on it yet.
    Given callers of 30 hosts in 3 failure domains, 30 sound requests a second
    When 6 upstreams crash at once, shortly after 20 requests with a new part
    Then no part is in quarantine

  Scenario: A request that crashes upstreams is blamed, and not the parts of its prompt
    Its copies come again and again; other requests share its parts.
    Given callers of 9 hosts in 4 failure domains, 12 sound requests a second
    And 2 requests a second hold a part that crashes upstreams, the second of 3
    And "one body, again and again"
    When they arrive for 10 seconds, by seed 1
    Then one request is in quarantine, and no part

  Scenario: Of two parts that always come together, the later one is blamed
    The earlier one is the head of more prompts; their requests must go on.
    Given a host's quarantine that has seen answers
    When 3 upstreams crash under different requests with the parts "head" and "unit"
    Then "unit" is in quarantine, and "head" is not

  Scenario: A part that two requests share is not blamed for the crashes of one
    The other request ran at one upstream that crashed, by chance.
    Given a host's quarantine that has seen answers
    When 3 upstreams crash under one request with the part "head"
    And another request with the part "head" ran for 2 seconds when an upstream crashed
    Then "head" is not in quarantine

  Scenario: An answer on a part clears it for the service that wrote it
    Another service may run other software.
    Given a host's quarantine that has seen answers
    When 3 upstreams crash under different requests with the part "unit"
    And another service answers on the part "unit"
    Then "unit" is in quarantine
    When the service answers on the part "unit"
    Then "unit" is not in quarantine

  Scenario: A part whose time is over is refused again after one crash
    Each try costs an upstream with all that it runs.
    Given a host's quarantine that has seen answers
    When 3 upstreams crash under different requests with the part "unit"
    And 601 seconds pass
    Then "unit" is not in quarantine
    When 1 upstreams crash under different requests with the part "unit"
    Then "unit" is in quarantine

  Scenario: A part that was answered after its time needs as many crashes as a new one
    Given a host's quarantine that has seen answers
    When 3 upstreams crash under different requests with the part "unit"
    And 601 seconds pass
    And the service answers on the part "unit"
    And 31 seconds pass
    And 1 upstreams crash under different requests with the part "unit"
    Then "unit" is not in quarantine

  Scenario: All hosts know that a part was answered after its time
    Those that did not would refuse it again after one crash.
    Given a host's quarantine that has seen answers
    When 3 upstreams crash under different requests with the part "unit"
    And 601 seconds pass
    And the service answers on the part "unit"
    Then other hosts are told that it answers on the part "unit"
