Feature: a soak of real entry hosts

  Scenario: Real processes keep their promises under faults
    Four entry hosts run as processes behind proxies that delay, hold back,
    silence and reset; signals kill, pause and stop them; upstreams crash, hang,
    leave; the store is down and forgets. No answer is another's or torn, no
    refused request ran, nothing ran twice that may run once.
    When live hosts are harmed for 5 seconds by seed 1
    Then no promise of the live hosts was broken
    And the live hosts served 50 requests or more, and 8 faults or more struck

  Scenario: A guard that is taken out is noticed
    Hosts keep the first configuration for good. A key that the operator took
    away goes on working, on every host.
    When live hosts without the guard "configuration" are harmed
    Then it was noticed: "ran with a key"
