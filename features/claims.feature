Feature: claims: a key runs at most once, from whichever entry host

  Scenario: Claims of one key at two hosts at once have one winner
    A salon's app loses its connection and sends the same minutes again to
    another host, while the first host is only just claiming the key. If both
    ran it, the member would be billed twice.
    Given claims hosts "h1, h2, h3"
    When claims request "first" with key "k" reaches "h1"
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "first" ends as "answered"
    And claims request "again" is told "unknown" of "h1", to ask again after 1 s
    And claims key "k" ran 1 time
    And claims key "k" would run 2 times without "the claim before the dispatch"
    And claims key "k" would run 2 times without "create-if-absent"
    And claims key "k" would run 2 times without "the read of the log before an append"

  Scenario: A claims repeat at the same host joins the run
    The app gives up its connection after 20 ms and asks the same host again.
    The first run still goes on: its answer is the answer to both.
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
    The balancer sends the repeat elsewhere after the first has ended. The
    host that ran it still keeps the answer.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims requests "first, again" end with the answer to "first"
    And claims key "k" ran 1 time

  Scenario: A claims host that dies between claim and dispatch
    The claim is written, then its host dies before it sends anything on. The
    caller asks another host, which can't know that nothing ran. It must
    neither run it nor say that it did not run.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 0.008 claims seconds pass
    And claims host "h1" dies
    And claims request "again" with key "k" reaches "h2"
    And 2 claims seconds pass
    Then claims request "first" has no outcome
    And claims request "again" is told "unknown" of "h1", to ask again after 10 s
    And claims key "k" ran 0 times

  Scenario: A claims host that dies after the dispatch
    The booking service has the call, then the entry host dies. The caller
    asks another host, and later the one that was started in its place.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 0.1 claims seconds pass
    And claims host "h1" dies
    And claims request "again" with key "k" reaches "h2"
    And claims host "h1" is replaced
    And claims request "back" with key "k" reaches "h1"
    And 2 claims seconds pass
    Then claims request "again" is told "unknown" of "h1", to ask again after 10 s
    And claims request "back" is told "unknown" of "h1", to ask again after 10 s
    And claims key "k" ran 1 time
    And claims key "k" would run 3 times without "the claim before the dispatch"

  Scenario: A claims key whose run has an unknown outcome is not run again
    The booking service takes the call and freezes. The host gives up at the
    deadline, and the caller asks again. The service may have logged the
    minutes.
    Given claims hosts "h1, h2"
    And the claims upstream is frozen
    When claims request "first" with key "k" reaches "h1"
    And 5 claims seconds pass
    And the claims upstream works again
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "first" ends as "unknown"
    And claims request "again" ends as "unknown"
    And claims key "k" ran 1 time
    And claims key "k" would run 2 times without "keeping the key of an unknown outcome"

  Scenario: A claims key of a request that was not run may be used again
    The booking service refuses the first call before running it. The caller
    is told "not run", and asks again a second later at another host.
    Given claims hosts "h1, h2"
    And the claims upstream refuses
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And the claims upstream works again
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "first" ends as "failed"
    And claims request "again" ends as "answered"
    And claims key "k" ran 1 time

  Scenario: A claims key with another input is refused
    A salon's app reuses a key by mistake. To answer with the outcome of other
    minutes would lose these; to run them under a used key would be unsafe.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And claims request "other" with key "k" and 25 minutes reaches "h1"
    And claims request "elsewhere" with key "k" and 25 minutes reaches "h2"
    And 1 claims seconds pass
    Then claims request "other" ends as "not-run", status 422
    And claims request "elsewhere" ends as "not-run", status 422
    And claims key "k" ran 1 time

  Scenario: Claims keys of two teams do not meet
    Two teams count their keys from 1. One must not get the other's answer.
    Given claims hosts "h1"
    When claims request "first" with key "1" reaches "h1"
    And team "desks" sends claims request "desk" with key "1" to "h1"
    And 1 claims seconds pass
    Then claims requests "first" end with the answer to "first"
    And claims requests "desk" end with the answer to "desk"
    And claims key "1" ran 2 times

  Scenario: A claims host that was cut off from its peers
    Two failure domains lose each other; both reach the store. The repeat
    comes in on the far side. When the cut ends, the answer is still there.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 1 claims seconds pass
    And claims host "h1" is cut off from its peers
    And claims request "again" with key "k" reaches "h2"
    And 2 claims seconds pass
    And all claims hosts reach each other again
    And claims request "later" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "again" is told "unknown" of "h1", to ask again after 10 s
    And claims requests "first, later" end with the answer to "first"
    And claims key "k" ran 1 time

  Scenario: A claims host that was paused for longer than the log goes back
    h1 has appended last, then stands still for a day. Others append, and the
    segments after h1's last one are folded away. h1 wakes, believes that its
    last segment is still the end, and creates the next name, which is absent.
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
    And claims host "h1" goes on
    And claims request "again" with key "k" reaches "h1"
    And 1 claims seconds pass
    Then the claims log no longer has segment 2
    And claims requests "five, again" end with the answer to "five"
    And claims key "k" ran 1 time
    And claims key "k" would run 2 times without "the bound on a known end"

  Scenario: A claims batch that waited for longer than the log goes back
    h1 has read the log's end and sends its batch, which is held up on the way
    for a day, as of a host that stands still. Meanwhile others append and
    fold. The batch arrives under a name that is absent again.
    Given claims hosts "h1, h2"
    When the claims log of "h1" gets key "k" and its next write is held up
    And claims request "two" with key "b" reaches "h2"
    And 800 claims seconds pass
    And claims request "three" with key "c" reaches "h2"
    And 1 claims seconds pass
    And claims request "five" with key "k" reaches "h2"
    And 1 claims seconds pass
    And the held up claims write of "h1" arrives
    And 1 claims seconds pass
    Then the claims log of "h1" did not get key "k"
    But without "the bound on a known end" the claims log of "h1" would get it

  Scenario: A claims host that was paused before its claim was answered
    The host stands still for longer than the deadline. When it goes on, the
    caller is long gone; what it would run now is too late, and its key is
    free for a repeat.
    Given claims hosts "h1, h2"
    When claims request "first" with key "k" reaches "h1"
    And 0.008 claims seconds pass
    And claims host "h1" is paused
    And 60 claims seconds pass
    And claims host "h1" goes on
    And 1 claims seconds pass
    And claims request "again" with key "k" reaches "h2"
    And 1 claims seconds pass
    Then claims request "first" ends as "not-run", status 503
    And claims request "again" ends as "answered"
    And claims key "k" ran 1 time

  Scenario: A claims write that lands under a name that was folded
    h1 sends its batch and dies. The batch is held up on its way until the log
    has gone on and its name is free again. It lands there, with a claim that
    no one ever won. A host that starts must not take it for a good one.
    Given claims hosts "h1, h2"
    When the claims log of "h1" gets key "k" and its next write is held up
    And claims host "h1" dies
    And claims request "two" with key "b" reaches "h2"
    And 800 claims seconds pass
    And claims request "three" with key "c" reaches "h2"
    And 800 claims seconds pass
    And claims request "four" with key "d" reaches "h2"
    And 1 claims seconds pass
    And the held up claims write of "h1" arrives
    And claims request "five" with key "k" reaches "h2"
    And 1 claims seconds pass
    And claims host "h1" is replaced
    And claims request "again" with key "k" reaches "h1"
    And 2 claims seconds pass
    Then the claims log no longer has segment 2
    And the claims log has key "k" 2 times
    And claims requests "five, again" end with the answer to "five"
    And claims key "k" ran 1 time
