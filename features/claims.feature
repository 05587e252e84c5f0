Feature: claims: a key runs at most once over all entry hosts

  Scenario: Claims of one key at two hosts at once have one winner
    A salon's app loses its connection and sends the same minutes again to
    another host, while the first host is still claiming the key. If both
    hosts ran the request, the member would be billed twice.
    Given claims hosts "h1, h2, h3"
    When claims request "first" with key "k" reaches "h1"
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "first" ends as "answered"
    And claims request "again" ends as "unknown" from "h1", to be retried after 1 s
    And claims key "k" ran 1 time
    And claims key "k" would run 2 times without "the claim before the dispatch"
    And claims key "k" would run 2 times without "create-if-absent"
    And claims key "k" would run 2 times without "the read of the log before an append"

  Scenario: A claims repeat at the same host joins the run
    The app closes its connection after 20 ms and retries at the same host.
    The first run is still in progress, and its answer is the answer to both.
    Given claims hosts "h1"
    When claims request "first" with key "k" reaches "h1"
    And 0.02 claims seconds pass
    And claims request "again" with key "k" reaches "h1"
    And 1 claims seconds pass
    And claims request "later" with key "k" reaches "h1"
    And 1 claims seconds pass
    Then claims requests "first, again, later" end with the answer to "first"
    And claims key "k" ran 1 time

  Scenario: A claims repeat at another host gets the answer from the holder
    The load balancer sends the repeat to another host after the first request
    has ended. The host that ran it still has the answer.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims requests "first, again" end with the answer to "first"
    And claims key "k" ran 1 time

  Scenario: A claims host crashes between claim and dispatch
    The claim is written, then its host crashes before the dispatch. The caller
    retries at another host, which can't know that nothing ran. It must
    neither run the request nor report that it did not run.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 0.008 claims seconds pass
    And claims host "h1" crashes
    And claims request "again" with key "k" reaches "h2"
    And 2 claims seconds pass
    Then claims request "first" has no outcome
    And claims request "again" ends as "unknown" from "h1", to be retried after 10 s
    And claims key "k" ran 0 times

  Scenario: A claims host that dies after the dispatch
    The booking service has received the call, then the entry host crashes. The
    caller retries at another host, and later at the replacement of the first.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 0.1 claims seconds pass
    And claims host "h1" crashes
    And claims request "again" with key "k" reaches "h2"
    And claims host "h1" is replaced
    And claims request "back" with key "k" reaches "h1"
    And 2 claims seconds pass
    Then claims request "again" ends as "unknown" from "h1", to be retried after 10 s
    And claims request "back" ends as "unknown" from "h1", to be retried after 10 s
    And claims key "k" ran 1 time
    And claims key "k" would run 3 times without "the claim before the dispatch"

  Scenario: A claims key whose run has an unknown outcome is not run again
    The booking service accepts the call and freezes. The host gives up at the
    deadline, and the caller retries. The service may have logged the minutes.
    Given claims hosts "h1, h2"
    And the claims upstream is frozen
    When claims request "first" with key "k" reaches "h1"
    And 5 claims seconds pass
    And the claims upstream recovers
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "first" ends as "unknown"
    And claims request "again" ends as "unknown"
    And claims key "k" ran 1 time
    And claims key "k" would run 2 times without "keeping the key of an unknown outcome"

  Scenario: A claims key of a request that was not run may be used again
    The booking service refuses the first call before running it. The caller
    gets "not run", and retries a second later at another host.
    Given claims hosts "h1, h2"
    And the claims upstream refuses
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And the claims upstream recovers
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "first" ends as "failed"
    And claims request "again" ends as "answered"
    And claims key "k" ran 1 time

  Scenario: A claims key with another input is refused
    A salon's app reuses a key by mistake. Answering with the outcome of the
    first minutes would lose the second ones; running them under a used key
    would be unsafe.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And claims request "other" with key "k" and 25 minutes reaches "h1"
    And claims request "elsewhere" with key "k" and 25 minutes reaches "h2"
    And 1 claims seconds pass
    Then claims request "other" ends as "not-run", status 422
    And claims request "elsewhere" ends as "not-run", status 422
    And claims key "k" ran 1 time

  Scenario: Claims of the same key by two teams are independent
    Two teams number their keys from 1. One must not get the other's answer.
    Given claims hosts "h1"
    When claims request "first" with key "1" reaches "h1"
    And team "desks" sends claims request "desk" with key "1" to "h1"
    And 1 claims seconds pass
    Then claims requests "first" end with the answer to "first"
    And claims requests "desk" end with the answer to "desk"
    And claims key "1" ran 2 times

  Scenario: A claims host that was cut off from its peers
    Two failure domains are partitioned, but both reach the store. The repeat
    arrives in the other domain. After the partition the answer is available.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And claims host "h1" is cut off from its peers
    And claims request "again" with key "k" reaches "h2"
    And 2 claims seconds pass
    And all claims hosts reach each other again
    And claims request "later" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "again" ends as "unknown" from "h1", to be retried after 10 s
    And claims requests "first, later" end with the answer to "first"
    And claims key "k" ran 1 time

  Scenario: A claims host that was paused for longer than the log goes back
    h1 appends last, then is paused for a day. Other hosts append, and the
    segments after h1's last one are deleted. h1 resumes, assumes that its last
    segment is still the end, and creates the next name, which is absent.
    Given claims hosts "h1, h2"
    When claims request "one" with key "a" reaches "h1"
    And 1 claims seconds pass
    And claims host "h1" is paused
    And claims request "two" with key "b" reaches "h2"
    And 800 claims seconds pass
    And claims request "three" with key "c" reaches "h2"
    And 800 claims seconds pass
    And claims request "four" with key "d" reaches "h2"
    And 1 claims seconds pass
    And claims request "five" with key "k" reaches "h2"
    And 1 claims seconds pass
    And claims host "h1" resumes
    And claims request "again" with key "k" reaches "h1"
    And 1 claims seconds pass
    Then the claims log no longer has segment 2
    And claims requests "five, again" end with the answer to "five"
    And claims key "k" ran 1 time
    And claims key "k" would run 2 times without "the bound on a known end"

  Scenario: A claims batch is delayed for longer than the log is retained
    h1 has read the log's end and sends its batch, which is delayed for a day,
    as if the host were paused. Meanwhile other hosts append and delete
    segments. The batch arrives under a name that is absent again.
    Given claims hosts "h1, h2"
    When the claims log of "h1" is given key "k" and its write is delayed
    And claims request "two" with key "b" reaches "h2"
    And 800 claims seconds pass
    And claims request "three" with key "c" reaches "h2"
    And 1 claims seconds pass
    And claims request "five" with key "k" reaches "h2"
    And 1 claims seconds pass
    And the delayed claims write of "h1" arrives
    And 1 claims seconds pass
    Then the claims log of "h1" did not claim key "k"
    But without "the bound on a known end" the claims log of "h1" would claim it

  Scenario: A claims host is paused before its claim is answered
    The host is paused for longer than the deadline. When it resumes, the
    caller has disconnected. The host must not run the request so late, and
    releases its key for a repeat.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 0.008 claims seconds pass
    And claims host "h1" is paused
    And 60 claims seconds pass
    And claims host "h1" resumes
    And 1 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "first" ends as "not-run", status 503
    And claims request "again" ends as "answered"
    And claims key "k" ran 1 time

  Scenario: A claims write is applied under the name of a deleted segment
    h1 sends its batch and crashes. The batch is delayed until the log has
    advanced and the segment of the same name was deleted. It is stored under
    that name, with a claim that never held the key. A host that starts must
    not treat this claim as valid.
    Given claims hosts "h1, h2"
    When the claims log of "h1" is given key "k" and its write is delayed
    And claims host "h1" crashes
    And claims request "two" with key "b" reaches "h2"
    And 800 claims seconds pass
    And claims request "three" with key "c" reaches "h2"
    And 800 claims seconds pass
    And claims request "four" with key "d" reaches "h2"
    And 1 claims seconds pass
    And the delayed claims write of "h1" arrives
    And claims request "five" with key "k" reaches "h2"
    And 1 claims seconds pass
    And claims host "h1" is replaced
    And claims request "again" with key "k" reaches "h1"
    And 2 claims seconds pass
    Then the claims log no longer has segment 2
    And the claims log has key "k" 2 times
    And claims requests "five, again" end with the answer to "five"
    And claims key "k" ran 1 time
