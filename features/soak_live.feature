Feature: live soak: fault tests of real entry host processes

  Scenario: Every invariant holds for real processes under faults
    Four entry hosts run as processes behind proxies that delay, block, drop and
    reset connections. Signals kill, suspend and stop them; upstreams crash,
    hang and leave; versions of the engines are released, while some hosts read
    the store late and all end once; the store is unavailable and discards its
    history. No answer is another request's, incomplete or of two versions, no
    refused request ran, and no non-idempotent request ran twice.
    When a live soak plays "--seconds 5 --ends killed,replaced,unread,reset" with seed 1
    Then the live soak found no violation
    And the live hosts served 50 requests or more under 8 faults or more
    And their callers took up 5 streams or more again
    And they got 5 malformed answers or more
    And 50 answers or more arrived that ended with their connection
    And 3 upstreams or more were killed within an answer, 1 of them or more replaced at once
    And 2 answers or more ended with an unread upload, 2 others with a reset

  Scenario: A guard that is taken out is noticed
    Hosts never replace their first configuration, so a key that the operator
    revoked keeps working on every host. The soak must report this.
    When live soaks run without the guard "configuration"
    Then a live soak reported: "ran with a key"

  Scenario: Each request that a host has read is answered before its grace ends
    Two hosts stop in turn while engines and lookups stand still for longer than
    the grace. No connection may close without a status.
    When a live soak plays "--graces engines" with seed 1
    Then the live soak found no violation
    And the live hosts had read 8 requests or more before they stopped

  Scenario: Requests leave an engine whose event never ends
    Guards against hosts that take bytes which bring nothing for signs of life.
    When a live soak plays "--endless event --seconds 12" with seed 1
    Then the live soak found no violation
    And the live hosts got 4 endless answers or more

  Scenario: All hosts end at the same moment and come back to a slow store
    Guards against hosts that serve late, or join streams, when none was left to ask.
    When a live soak plays "--all-end slow --hosts 6" with seed 1
    Then the live soak found no violation

  Scenario: All hosts and all upstreams end at the same moment and come back
    Guards against callers who come back at once and are not served in time.
    When a live soak plays "--all-end well --ending all --hosts 4" with seed 2
    Then the live soak found no violation
