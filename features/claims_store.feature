Feature: claims while the store loses answers, is slow or is down

  Scenario Outline: A claims append whose answer is lost, <fault>
    The host can't know whether its append was applied. If it assumed either
    result without reading the log, it would sometimes be wrong.
    Given claims hosts "h1, h2"
    When the claims writes of "h1" fail with "<fault>"
    And claims request "first" with key "k" reaches "h1"
    And 3 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 8 claims seconds pass
    Then claims requests "first, again" end with the answer to "first"
    And claims key "k" ran 1 time
    And the claims log has key "k" 1 time

    Examples:
      | fault                    |
      | answer-lost              |
      | request-lost             |
      | late                     |
      | late, answer-lost        |
      | request-lost, late       |
      | late, late, request-lost |

  Scenario: A claims append in doubt while another host takes its number
    The append of h1 is delayed. h2 appends at the same number, for the same
    key. h1 reads back, finds the batch of h2, and must not run the request.
    Given claims hosts "h1, h2"
    When the claims writes of "h1" fail with "late"
    And claims request "first" with key "k" reaches "h1"
    And 0.1 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 8 claims seconds pass
    Then claims request "again" ends as "answered"
    And claims key "k" ran 1 time
    And the claims log has key "k" 1 time
    And claims key "k" would run 2 times without "the read-back of an append in doubt"
    And claims key "k" would run 2 times without "settling a number before the next"

  Scenario: Claims of other keys are retried after a lost sequence number
    As before, with two keys. The number of h1's batch was taken by h2, so the
    batch is sent again under the next one. The late write is then rejected,
    because its name exists.
    Given claims hosts "h1, h2"
    When the claims writes of "h1" fail with "late"
    And claims request "first" with key "a" reaches "h1"
    And 0.1 claims seconds pass
    And claims request "second" with key "b" reaches "h2"
    And 8 claims seconds pass
    Then claims requests "first" end with the answer to "first"
    And claims requests "second" end with the answer to "second"
    And the claims log has key "a" 1 time

  Scenario: Claims with the store down
    The store refuses connections. Requests with a key are refused at once, as
    not run. Requests whose upstream deduplicates by key still run, and so do
    idempotent ones.
    Given claims hosts "h1"
    And the claims store is down
    When claims request "minutes" with key "k" reaches "h1"
    And pipeline "deduped" gets claims request "deduped" with key "d" at "h1"
    And pipeline "look-up" gets claims request "look" with key "l" at "h1"
    And 0.2 claims seconds pass
    Then claims request "minutes" ends as "not-run", status 503
    And claims request "minutes" gets a time to retry after
    And claims request "deduped" ends as "answered"
    And claims request "look" ends as "answered"
    And claims key "k" ran 0 times

  Scenario: Claims after the store is back
    A caller that was refused as not run retries with the same key.
    Given claims hosts "h1"
    And the claims store is down
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And the claims store is up
    And claims request "again" with key "k" reaches "h1"
    And 1 claims seconds pass
    Then claims request "first" ends as "not-run", status 503
    And claims request "again" ends as "answered"
    And claims key "k" ran 1 time

  Scenario: Claims with a store that is slow
    Each call takes 1.5 s. The claim does not succeed within its share of the
    deadline; the caller is refused at that moment, not at the deadline. The
    claim is written later and then released, so a repeat runs.
    Given claims hosts "h1, h2"
    And the claims store takes 1.5 seconds for each call
    When claims request "first" with key "k" reaches "h1"
    And 2.1 claims seconds pass
    Then claims request "first" ends as "not-run", status 503
    When 6 claims seconds pass
    And the claims store takes 0.005 seconds for each call
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "again" ends as "answered"
    And claims key "k" ran 1 time

  Scenario: Claims while an append stays in doubt
    The answer to an append is lost and then the store goes down. The claim may
    or may not be in the log. Its caller and all later ones are refused at
    once. When the store is back, the claim is settled and released.
    Given claims hosts "h1, h2"
    When the claims writes of "h1" fail with "answer-lost"
    And claims request "first" with key "k" reaches "h1"
    And 0.1 claims seconds pass
    And the claims store goes down
    And 1 claims seconds pass
    And claims request "second" with key "b" reaches "h1"
    And 0 claims seconds pass
    Then claims request "first" ends as "not-run", status 503
    And claims request "second" ends as "not-run", status 503
    When the claims store is up
    And 5 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "again" ends as "answered"
    And claims key "k" ran 1 time

  Scenario: A claims host that is cut off from the store
    Only one host loses the store. It refuses; the caller retries at another.
    Given claims hosts "h1, h2"
    When claims host "h1" is cut off from the store
    And claims request "first" with key "k" reaches "h1"
    And 3 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "first" ends as "not-run", status 503
    And claims request "again" ends as "answered"
    And claims key "k" ran 1 time

  Scenario: A claims host finds its own claim after a forwarded one
    h1 forwards its claim to h2, and the reply is lost. h1 finds its own request
    in the log and runs it. Meanwhile h2 gives up the claim. If h2 released it,
    a repeat would run a second time.
    Given claims hosts "h1, h2, h3"
    When claims host "h1" forwards to "h2" and loses its answers
    And the claims writes of "h2" fail with "answer-lost"
    And claims request "first" with key "k" reaches "h1"
    And 8 claims seconds pass
    And claims host "h1" is replaced
    And claims request "again" with key "k" reaches "h3"
    And 1 claims seconds pass
    Then claims request "first" ends as "answered"
    And claims request "again" ends as "unknown"
    And claims key "k" ran 1 time
    And claims key "k" would run 2 times without "leaving the claims of others alone"

  Scenario: Claims segments are deleted after the window
    Minutes are logged once an hour for a week. Without truncation, the store
    would fill up with segments whose claims have expired.
    Given claims hosts "h1, h2"
    When 40 claims keys reach hosts in turn, 300 seconds apart
    Then the claims log has at most 6 segments
    And each claims key ran 1 time

  Scenario: Truncation keeps a claims key for its whole window
    A caller retries after nine of ten minutes. Meanwhile many other keys were
    claimed at all hosts.
    Given claims hosts "h1, h2, h3"
    When claims request "first" with key "k" reaches "h1"
    And 40 claims keys reach hosts in turn, 13 seconds apart
    And claims host "h3" is replaced
    And claims request "again" with key "k" reaches "h3"
    And 1 claims seconds pass
    Then claims requests "first, again" end with the answer to "first"
    And claims key "k" ran 1 time
    And claims key "k" would run 2 times without "keeping segments for the window"

  Scenario: A claims host pages through the log while it is truncated
    A new host reads a log of 1,200 segments, 500 a page. Between two pages
    another host deletes 600 that have expired. The key of the request is in
    the remaining part.
    Given claims hosts "h1, h2"
    And a claims log of 1200 segments of which 900 have expired
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 0.006 claims seconds pass
    And the claims segments 301 to 900 are deleted
    And 1 claims seconds pass
    Then claims requests "first, again" end with the answer to "first"
    And claims key "k" ran 1 time

  Scenario: The claims log never becomes empty
    All claims have expired. If all segments were deleted, a host that starts
    now would begin at number 1 again, below the numbers at which other hosts
    continue, and the two would not see each other's claims.
    Given claims hosts "h1, h2"
    When claims request "one" with key "a" reaches "h1"
    And 800 claims seconds pass
    And claims request "two" with key "b" reaches "h1"
    And 1 claims seconds pass
    And claims host "h2" is replaced
    And claims request "first" with key "k" reaches "h2"
    And claims request "again" with key "k" reaches "h1"
    And 1 claims seconds pass
    Then claims key "k" ran 1 time
    And claims key "k" would run 2 times without "keeping the newest segment"

  Scenario: Claims that a store has lost by its return from an older copy
    The booking ran. A repeat at a host that knows only the copy must not run.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And the claims store returns to before it
    And 6 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 4 claims seconds pass
    Then claims requests "first, again" end with the answer to "first"
    And claims key "k" ran 1 time
    And the claims log has key "k" 1 time

  Scenario: Claims soon after the return of the store
    No host can know whether a key is free until the lost claims are restored.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And the claims store returns to before it
    And claims host "h2" is replaced
    And claims request "again" with key "k" reaches "h2"
    And 4 claims seconds pass
    Then claims request "again" gets a time to retry after
    And claims key "k" ran 1 time

  Scenario: A claims host that is killed after the return of the store
    Another host that has read its claims restores them.
    Given claims hosts "h1, h2, h3"
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And claims request "other" with key "j" reaches "h2"
    And 1 claims seconds pass
    And the claims store returns to before the last request but one
    And claims host "h1" crashes
    And 6 claims seconds pass
    And claims host "h3" is replaced
    And claims request "warm" with key "w" reaches "h3"
    And 3 claims seconds pass
    And claims request "again" with key "k" reaches "h3"
    And 8 claims seconds pass
    Then claims request "again" ends as "unknown"
    And claims key "k" ran 1 time

  Scenario: A claims append that arrives after the return of the store
    Its number is behind the end of the copy, so the log has a gap.
    Given claims hosts "h1, h2"
    When claims request "old" with key "o" reaches "h2"
    And 1 claims seconds pass
    And claims request "lost" with key "l" reaches "h2"
    And 1 claims seconds pass
    And the claims writes of "h1" fail with "held"
    And claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And the claims store returns to before the last request but one
    And the delayed claims write of "h1" arrives
    And 6 claims seconds pass
    And claims host "h2" is replaced
    And claims request "warm" with key "w" reaches "h2"
    And 3 claims seconds pass
    And claims request "again" with key "o" reaches "h2"
    And 8 claims seconds pass
    Then claims request "again" ends as "unknown"
    And claims key "o" ran 1 time
