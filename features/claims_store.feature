Feature: claims while the store loses answers, is slow or is down

  Scenario Outline: A claims append whose answer is lost, <fault>
    The host can't know whether its append was applied. If it took it as
    applied, or as not applied, without looking, it would be wrong once in a
    while.
    Given claims hosts "h1, h2"
    When the claims writes of "h1" meet "<fault>"
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
    The append of h1 is lost on its way. h2 takes the number, for the same
    key. h1 reads back, finds another's batch, and must not run.
    Given claims hosts "h1, h2"
    When the claims writes of "h1" meet "late"
    And claims request "first" with key "k" reaches "h1"
    And 0.1 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 8 claims seconds pass
    Then claims request "again" ends as "answered"
    And claims key "k" ran 1 time
    And the claims log has key "k" 1 time
    And claims key "k" would run 2 times without "the read-back of an append in doubt"
    And claims key "k" would run 2 times without "settling a number before the next"

  Scenario: Claims of other keys go on after a lost number
    As before, with two keys. h1's batch has lost its number for good and is
    sent again under the next; the late write finds its old name taken.
    Given claims hosts "h1, h2"
    When the claims writes of "h1" meet "late"
    And claims request "first" with key "a" reaches "h1"
    And 0.1 claims seconds pass
    And claims request "second" with key "b" reaches "h2"
    And 8 claims seconds pass
    Then claims requests "first" end with the answer to "first"
    And claims requests "second" end with the answer to "second"
    And the claims log has key "a" 1 time

  Scenario: Claims with the store down
    The store refuses connections. Keyed minutes are refused as not run, at
    once. Requests whose upstream drops repeats itself go on, and so do
    idempotent ones.
    Given claims hosts "h1"
    And the claims store is down
    When claims request "minutes" with key "k" reaches "h1"
    And pipeline "deduped" gets claims request "deduped" with key "d" at "h1"
    And pipeline "look-up" gets claims request "look" with key "l" at "h1"
    And 0.2 claims seconds pass
    Then claims request "minutes" ends as "not-run", status 503
    And claims request "minutes" was told when to ask again
    And claims request "deduped" ends as "answered"
    And claims request "look" ends as "answered"
    And claims key "k" ran 0 times

  Scenario: Claims after the store is back
    The caller that was refused as not run asks again with the same key.
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
    Each call takes 1.5 s. The claim can't be had in the share of the deadline
    that it may take; the caller is told at once then, not at the deadline.
    The claim lands after that and is released, so a repeat runs.
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
    The answer to an append is lost and then the store is gone. The claim may
    or may not stand. Its caller and all that come after it are refused at
    once; when the store is back the claim is settled and released.
    Given claims hosts "h1, h2"
    When the claims writes of "h1" meet "answer-lost"
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
    One host alone loses the store. It refuses; the caller goes to another.
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
    h1 has h2 append its claim, and the answer is lost between them. h1 finds
    its own request in the log and runs it. h2 gives the claim up meanwhile;
    if it released it, a repeat would run a second time.
    Given claims hosts "h1, h2, h3"
    When claims host "h1" forwards to "h2" and loses its answers
    And the claims writes of "h2" meet "answer-lost"
    And claims request "first" with key "k" reaches "h1"
    And 8 claims seconds pass
    And claims host "h1" is replaced
    And claims request "again" with key "k" reaches "h3"
    And 1 claims seconds pass
    Then claims request "first" ends as "answered"
    And claims request "again" ends as "unknown"
    And claims key "k" ran 1 time
    And claims key "k" would run 2 times without "leaving the claims of others alone"

  Scenario: Claims segments are folded after the window
    Minutes are logged once an hour for a week. The store would fill up with
    segments that hold nothing any more.
    Given claims hosts "h1, h2"
    When 40 claims keys reach hosts in turn, 300 seconds apart
    Then the claims log has at most 6 segments
    And each claims key ran 1 time

  Scenario: Folding keeps a claims key for its whole window
    A caller asks again after nine minutes of ten; many other keys were
    claimed meanwhile, at all hosts.
    Given claims hosts "h1, h2, h3"
    When claims request "first" with key "k" reaches "h1"
    And 40 claims keys reach hosts in turn, 13 seconds apart
    And claims host "h3" is replaced
    And claims request "again" with key "k" reaches "h3"
    And 1 claims seconds pass
    Then claims requests "first, again" end with the answer to "first"
    And claims key "k" ran 1 time
    And claims key "k" would run 2 times without "keeping segments for the window"

  Scenario: A claims host that pages through the log while it is folded
    A new host reads a log of 1,200 segments, 500 a page. Between two pages
    another host deletes 600 that have expired. The key it looks for stands
    in the part that is left.
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
    All claims have expired. Were all segments folded, a host that starts now
    would begin at number 1 again, below the numbers at which the others go
    on, and the two would not see each other's claims.
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
