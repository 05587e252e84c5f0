Feature: live soak: fault tests of real entry host processes

  Scenario: Every invariant holds for real processes under faults
    Four entry hosts run as processes behind proxies that delay, block, drop and
    reset connections. Signals kill, suspend and stop them; upstreams crash,
    hang and leave; the store is unavailable and discards its history. No answer
    is another request's or incomplete, no refused request ran, and no
    non-idempotent request ran twice.
    When a live soak injects faults for 5 seconds with seed 1
    Then the live soak found no violation
    And the live hosts served 50 requests or more under 8 faults or more

  Scenario: A guard that is taken out is noticed
    Hosts never replace their first configuration, so a key that the operator
    revoked keeps working on every host. The soak must report this.
    When live soaks run without the guard "configuration"
    Then a live soak reported: "ran with a key"
