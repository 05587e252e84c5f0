Feature: quarantine: requests that crash the upstreams that run them

  Scenario Outline: A <route> request that crashes its upstreams is kept from them
    Its caller comes again at all hosts, and ends an upstream or two each time.
    Given 9 hosts and 9 upstreams in 4 failure domains, for <route> requests
    When a deadly request comes each 0.5 seconds for 15 seconds, at all hosts in turn
    Then from 3 seconds after its third crash on it reached upstreams at most 3 times more
    And at most 6 upstreams have ended

    Examples:
      | route    |
      | resumed  |
      | repeated |
      | once     |

  Scenario: Two such requests beside sound ones
    What runs beside them breaks off again and again, and is not the cause.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    And sound requests come 8 times a second, each 4 times whatever comes of it
    When 2 deadly requests come each 0.5 seconds for 10 seconds, at all hosts in turn
    Then each of them has crashed at most 6 upstreams
    And no sound request was refused for crashing upstreams

  Scenario Outline: Upstreams that crash without a cause blame nobody: seed <seed>
    One of nine goes down each second, so long streams break off by chance.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    And sound requests come 8 times a second, each 4 times whatever comes of it
    When upstreams crash once a second for 30 seconds, by seed <seed>
    Then no sound request was refused for crashing upstreams

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Upstreams that crash together blame no look-up in the same words
    All callers send one look-up in the same words, so each upstream had it.
    Given 9 hosts and 9 upstreams in 4 failure domains, for repeated requests
    And "look-up" comes 40 times a second for 6 seconds
    When 4 upstreams crash at one moment, 3 seconds on
    Then no sound request was refused for crashing upstreams

  Scenario Outline: All hosts know in time: <fault>, <hosts> hosts
    A host that has not heard of it sends it on.
    Given <hosts> hosts and 12 upstreams in <domains> failure domains, for resumed requests
    And the fault "<fault>"
    When a deadly request comes each 0.3 seconds for 6 seconds, at all hosts in turn
    Then each host that runs keeps it from upstreams 3 seconds after its third crash

    Examples:
      | hosts | domains | fault        |
      | 9     | 4       | none         |
      | 30    | 3       | none         |
      | 30    | 3       | store away   |
      | 30    | 3       | readers ended |

  Scenario: A failure domain that was cut off knows once it is back
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    And one failure domain is cut off from the others
    When a deadly request comes each 0.3 seconds for 3 seconds, at the other hosts
    And the cut is healed
    Then each host that runs keeps it from upstreams within 3 seconds

  Scenario: Hosts that all start again know what was in quarantine
    All processes are killed, and nobody is left who could tell.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a deadly request comes each 0.3 seconds for 3 seconds, at all hosts in turn
    And all hosts are killed and start again
    Then each host that runs keeps it from upstreams within 3 seconds

  Scenario: What an operator lifts is sent again, by all hosts
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a deadly request comes each 0.3 seconds for 3 seconds, at all hosts in turn
    And an operator deletes its entry
    Then no host keeps it from upstreams after 2 seconds
    And its entry does not come back

  Scenario: One that crashes upstreams again after it was lifted is held again
    An entry that is newer than the release must not be taken for the older one.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a deadly request comes each 0.3 seconds for 3 seconds, at all hosts in turn
    And an operator deletes its entry
    And 2 seconds pass for all hosts
    And a deadly request comes each 0.3 seconds for 3 seconds, at all hosts in turn
    Then each host that runs keeps it from upstreams within 3 seconds
    And its entry stands

  Scenario: An entry that is newer than a release is taken, not deleted
    A host hears of it by the store before its peers tell it.
    Given a host that has heard of a release, and reads the store
    When the store has a newer entry for the same request
    Then the host keeps it from upstreams
    And it has not deleted the entry

  Scenario: One that runs to its end is released
    A copy was still under way as the verdict fell.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a deadly request comes each 0.3 seconds for 3 seconds, at all hosts in turn
    And one host sees it run to its end
    Then no host keeps it from upstreams after 2 seconds
    And its entry does not come back

  Scenario: Reports of an upstream that answers are void
    A full upstream refused connections and was taken for one that had ended.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a host reports 3 upstreams as crashed under a request, wrongly
    And a request is answered by one of them
    Then no host keeps it from upstreams after 2 seconds

  Scenario: The caller is refused at once, and not asked to come again
    Its stage work takes seconds, and 503 would say that it may be sent again.
    Given a forwarded "resumable" request whose content is in quarantine
    When the forwarded request comes
    Then the caller of the forwarded request gets 502
    And it is not told when to come back
    And 0 forwarded sends were made

  Scenario: A request that was waiting as the verdict fell is not sent
    Given a forwarded "resumable" request with stage work
    And its stage work never ends
    When its content is put into quarantine, and the stage work ends
    Then the caller of the forwarded request gets 502
    And 0 forwarded sends were made

  Scenario: A verdict ends after its time, in the store as well
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a deadly request comes each 0.3 seconds for 3 seconds, at all hosts in turn
    And 600 seconds pass for all hosts
    Then no host keeps it from upstreams after 2 seconds
    And its entry does not come back

  Scenario: Memory of crashes and verdicts is bounded
    A caller sends another request each time, and ends an upstream with each.
    Given a host's quarantine
    When 5000 crashes with 200 suspects each are reported to it
    Then it remembers at most 256 crashes, of 128 suspects each
    And it remembers at most 1024 verdicts of 5000

  Scenario: Pieces that crash a stage upstream are told from those beside them
    Put back together, all pieces of a call would crash the next upstream together.
    Given a queue over 4 workers with pieces of "a", "deadly" and "b" in one call
    When each worker crashes that has a piece of "deadly"
    Then the pieces of "a" and "b" are made
    And "deadly" was at 2 workers, and is refused

  Scenario: What a broken stage call held is reported, before it is sent again
    Given a stage call with pieces of "a" and "b"
    When its upstream crashes
    Then both are reported as under way there, and then the call counts as lost

  Scenario: Pieces of a request in quarantine are given up where they wait
    Given a queue over 1 workers with pieces of "a", "deadly" and "b" in one call
    And pieces of "late" wait there
    When "late" is put into quarantine
    Then "late" is refused for crashing upstreams
    And "late" is refused so when it comes again

  Scenario: An operator sees what is in quarantine, and lifts it by the command
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a deadly request comes each 0.3 seconds for 3 seconds, at all hosts in turn
    Then the command lists one request of a team, with its service and crashes
    When an operator lifts it by the command
    Then no host keeps it from upstreams after 2 seconds
    And the command lists no request
