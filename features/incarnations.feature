Feature: upstreams that start again under their identifier, and foreign entries

  Scenario: An upstream that started again is not blamed for its last life
    A model engine that failed half its requests crashes, and starts again
    under its identifier. Callers keep being sent past it, to siblings that are
    full, for as long as the failures of before count.
    Given a registry with an upstream "a" born at 1000
    And its requests fail until it counts as sick
    When the entry of "a" says that it was born at 2000
    Then "a" is known with no failures, no load and no requests under way

  Scenario: What the last incarnation still has under way does not count
    Requests that were sent before the crash end after the new start. Taken
    from the new incarnation's, its load would fall below zero, and it would
    draw more requests than its siblings.
    Given a registry with an upstream "a" born at 1000
    And a request under way at it
    When the entry of "a" says that it was born at 2000
    Then "a" is known with no failures, no load and no requests under way
    When the request under way ends
    Then "a" is known with no failures, no load and no requests under way

  Scenario: A late word of the last incarnation changes nothing
    A write of the last incarnation reaches the store after the first of the
    new one. Believed, hosts would forget an upstream that just came.
    Given a registry with an upstream "a" born at 2000
    When the entry of "a" says that it was born at 1000 and leaves
    Then the usable upstream "a" was born at 2000

  Scenario: A request that found the last incarnation gone leaves the new one
    A send that was meant for the incarnation before is answered by another
    upstream at that address, while the entry of the new one has come.
    Given a registry with an upstream "a" born at 1000
    And a request under way at it
    When the entry of "a" says that it was born at 2000
    And the request under way finds another incarnation
    Then the usable upstream "a" was born at 2000

  Scenario: A stage worker that started again holds no results
    Its room is all free. Counted as full by what it held before the crash, a
    third of a stage's room stays unused until those results would lapse.
    Given a stage queue whose worker was born at 1000 and has no room left
    When that worker is born again at 2000
    And stage groups "y" of 6 pieces and 100 bytes come
    Then stage call 1 holds 6 pieces

  Scenario Outline: An entry with <fault> names no upstream, and the others hold
    Another program writes to the same kind of objects. Decoded as one, a page
    with its entry was no page at all, and hosts knew no upstream.
    Given a page of the registry with two upstreams and one with <fault>
    Then its two upstreams are known, and one line says what was left out

    Examples:
      | fault                       |
      | no service                  |
      | no address                  |
      | a number for its service    |
      | text for its slots          |
      | no slots to work with       |
      | a state that nobody named   |
      | an address that is a name   |
      | text for its birth          |
      | a fraction for its birth    |
      | nothing in it               |
      | a list for an object        |
      | no name                     |
      | a byte that is no text      |
      | half a surrogate pair       |
      | a number that is none       |
      | a number beyond all         |

  Scenario Outline: A change by another writer does not end a watch: <fault>
    Given a watch of the registry that hears of two upstreams and one with <fault>
    Then its two upstreams are known, and one line says what was left out

    Examples:
      | fault                       |
      | a state that nobody named   |
      | a list for an object        |
      | no name                     |
      | half a surrogate pair       |

  Scenario: An entry that another writer spoils names no upstream any more
    Given a registry with an upstream "a" born at 1000
    When another writer puts a list in the place of "a"
    Then no upstream is usable

  Scenario: No input raises, drops a sound neighbour or passes as an upstream
    Then whatever stands beside two sound entries, these two are known
    And whatever is put for a field, the entry names a whole upstream or none
