Feature: upstreams that start again under their identifier, and foreign entries

  Scenario: An upstream that started again is not blamed for its last life
    A model engine that failed half its requests crashes, and starts again
    under its identifier. Callers keep being sent past it, to siblings that are
    full, for as long as the failures of before count.
    Given a registry with an upstream "a" started at 1000
    And its requests fail until it counts as sick
    When the entry of "a" reports that it started at 2000
    Then "a" is known with no failures, no load and no requests in flight

  Scenario: What the last incarnation still has under way does not count
    Requests that were sent before the crash end after the new start. Taken
    from the new incarnation's, its load would fall below zero, and it would
    draw more requests than its siblings.
    Given a registry with an upstream "a" started at 1000
    And a request in flight there
    When the entry of "a" reports that it started at 2000
    Then "a" is known with no failures, no load and no requests in flight
    When the request in flight ends
    Then "a" is known with no failures, no load and no requests in flight

  Scenario: A late word of the last incarnation changes nothing
    A write of the last incarnation reaches the store after the first of the
    new one. Believed, hosts would forget an upstream that just came.
    Given a registry with an upstream "a" started at 2000
    When the entry of "a" reports that it started at 1000 and leaves
    Then the usable upstream "a" started at 2000

  Scenario: A request that found the last incarnation gone leaves the new one
    A send that was meant for the incarnation before is answered by another
    upstream at that address, while the entry of the new one has come.
    Given a registry with an upstream "a" started at 1000
    And a request in flight there
    When the entry of "a" reports that it started at 2000
    And the request in flight finds another incarnation
    Then the usable upstream "a" started at 2000

  Scenario: A stage worker that started again holds no results
    Its room is all free. Counted as full by what it held before the crash, a
    third of a stage's room stays unused until those results would lapse.
    Given a stage queue whose worker started at 1000 and has no free result memory
    When that worker restarts at 2000
    And stage groups "y" of 6 pieces and 100 bytes come
    Then stage call 1 holds 6 pieces

  Scenario Outline: An entry with <fault> names no upstream, and the others hold
    Another program writes to the same kind of objects. Decoded as one, a page
    with its entry was no page at all, and hosts knew no upstream.
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
      | a byte that is not UTF-8      |
      | half a surrogate pair       |
      | a number that is NaN       |
      | an infinite number         |

  Scenario Outline: A change by another writer does not end a watch: <fault>
    Given a watch of the registry that reports two upstreams and one with <fault>
    Then its two upstreams are known, and one log line names what was skipped

    Examples:
      | fault                       |
      | an unknown state   |
      | a list for an object        |
      | no name                     |
      | half a surrogate pair       |

  Scenario: An entry that another writer spoils names no upstream any more
    Given a registry with an upstream "a" started at 1000
    When another writer replaces "a" by a list
    Then no upstream is usable

  Scenario: No input raises, drops a sound neighbour or passes as an upstream
    Then with any value beside two valid entries, these two are known
    And with any value in a field, the entry is a complete upstream or none
