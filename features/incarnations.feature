Feature: upstreams that restart under their identifier, and invalid entries

  Scenario: Statistics of the last incarnation do not apply to a restarted upstream
    A model engine that failed half its requests crashes, and restarts under its
    identifier. While the earlier failures count, requests avoid it and go to
    other engines that are full.
    Given a registry with an upstream "a" started at 1000
    And its requests fail until it counts as sick
    When the entry of "a" reports that it started at 2000
    Then "a" is known with no failures, no load and no requests in flight

  Scenario: Requests in flight at the last incarnation do not count
    Requests that were sent before the crash end after the restart. If they were
    subtracted from the load of the new incarnation, its load would fall below
    zero, and it would attract more requests than the other upstreams.
    Given a registry with an upstream "a" started at 1000
    And a request in flight there
    When the entry of "a" reports that it started at 2000
    Then "a" is known with no failures, no load and no requests in flight
    When the request in flight ends
    Then "a" is known with no failures, no load and no requests in flight

  Scenario: A late entry of the last incarnation is ignored
    A write of the last incarnation reaches the store after the first one of the
    new incarnation. If it were applied, hosts would drop an upstream that has
    just started.
    Given a registry with an upstream "a" started at 2000
    When the entry of "a" reports that it started at 1000 and leaves
    Then the usable upstream "a" started at 2000

  Scenario: A misdirected request of the last incarnation keeps the new one
    A request to the previous incarnation is answered by another upstream at
    that address, after the entry of the new incarnation has arrived.
    Given a registry with an upstream "a" started at 1000
    And a request in flight there
    When the entry of "a" reports that it started at 2000
    And the request in flight finds another incarnation
    Then the usable upstream "a" started at 2000

  Scenario: A restarted stage worker holds no results
    Its result memory is free. If results from before the crash still counted, a
    third of a stage's result memory would stay unused until they expire.
    Given a stage queue whose worker started at 1000 and has no free result memory
    When that worker restarts at 2000
    And stage groups "y" of 6 pieces and 100 bytes come
    Then stage call 1 holds 6 pieces

  Scenario Outline: An entry with <fault> is skipped, and the others are kept
    Another program writes objects of the same kind. When a page was decoded as
    one unit, one such entry made the page invalid, and hosts knew no upstream.
    Given a page of the registry with two upstreams and one with <fault>
    Then its two upstreams are known, and one log line names what was skipped

    Examples:
      | fault                       |
      | no service                  |
      | no address                  |
      | a number for its service    |
      | text for its slots          |
      | zero slots       |
      | an unknown state   |
      | a name for its address   |
      | text for its start time          |
      | a fraction for its start time    |
      | no content               |
      | a list for an object        |
      | no name                     |
      | a byte that is undecodable    |
      | half a surrogate pair       |
      | a number that is NaN       |
      | an infinite number         |

  Scenario Outline: An invalid change by another writer does not end a watch: <fault>
    Given a watch of the registry that reports two upstreams and one with <fault>
    Then its two upstreams are known, and one log line names what was skipped

    Examples:
      | fault                       |
      | an unknown state   |
      | a list for an object        |
      | no name                     |
      | half a surrogate pair       |

  Scenario: An entry that another writer makes invalid removes its upstream
    Given a registry with an upstream "a" started at 1000
    When another writer replaces "a" by a list
    Then no upstream is usable

  Scenario: No input raises, drops a valid neighbour or is accepted as an upstream
    Then with any value beside two valid entries, these two are known
    And with any value in a field, the entry is a complete upstream or none
