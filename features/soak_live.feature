Feature: a soak of real entry hosts

  Scenario: Real processes keep their promises under faults
    Four entry hosts run as processes behind proxies that delay, hold back,
    silence and reset; signals kill, pause and stop them; upstreams crash, hang,
    leave; the store is down and forgets. No answer is another's or torn, no
    refused request ran, nothing ran twice that may run once.
    When live hosts are harmed for 5 seconds by seed 1
    Then no promise of the live hosts was broken
    And the live hosts served requests and 8 faults or more struck

  Scenario: A guard that is taken out is noticed
    A host says of requests that ran that they have not, so callers send them
    again, and a minute log lands twice.
    When live hosts without the guard "truth" are harmed for 8 seconds
    Then a promise of the live hosts was broken: "and ran"
