Feature: quarantine: requests that crash the upstreams that run them

  Scenario Outline: A <route> request that crashes its upstreams is kept from them
    Its caller retries at all hosts, and each attempt crashes an upstream or two.
    Given 9 hosts and 9 upstreams in 4 failure domains, for <route> requests
    When a crashing request arrives every 0.5 seconds for 15 seconds, at all hosts in turn
    Then from 3 seconds after its third crash on it reached upstreams at most 3 more times
    And at most 6 upstreams have crashed

    Examples:
      | route    |
      | resumed  |
      | repeated |
      | once     |

  Scenario: Twenty callers send a crashing request at one instant
    Each copy reaches another upstream before the first crash is known.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a crashing request arrives 20 times within 0.03 seconds, at all hosts in turn
    Then at most 4 upstreams have crashed

  Scenario Outline: Twenty callers send a crashing request at one instant, beside other traffic: seed <seed>
    Upstreams differ in load and speed, so hosts choose different ones.
    Given <hosts> hosts and <hosts> upstreams in <domains> failure domains, for resumed requests
    And other requests arrive 20 times a second for 6 seconds, by seed <seed>
    When a crashing request arrives 20 times within 0.03 seconds, at all hosts in turn
    Then at most <most> upstreams have crashed

    Examples:
      | hosts | domains | seed | most |
      | 30    | 3       | 1    | 4    |
      | 9     | 4       | 1    | 4    |
      | 9     | 4       | 2    | 4    |

  Scenario Outline: <count> callers send a crashing request within <window> s, beside other traffic: <hosts> hosts, <rate> requests a second
    Copies go on arriving while some hosts have found their upstreams crashed.
    Given <hosts> hosts and <hosts> upstreams in <domains> failure domains, for <route> requests
    And other requests arrive <rate> times a second for 6 seconds, by seed <seed>
    When a crashing request arrives <count> times within <window> seconds, at all hosts in turn
    Then at most 4 upstreams have crashed

    Examples:
      | hosts | domains | rate | count | window | route    | seed |
      | 9     | 4       | 60   | 20    | 0.03   | resumed  | 1    |
      | 9     | 4       | 20   | 100   | 0.03   | resumed  | 1    |
      | 9     | 4       | 20   | 20    | 0.3    | resumed  | 1    |
      | 9     | 4       | 20   | 20    | 0.3    | repeated | 2    |
      | 9     | 4       | 20   | 20    | 0.03   | once     | 1    |
      | 30    | 3       | 100  | 20    | 0.03   | resumed  | 1    |

  Scenario: Fifty callers send a sound request at one instant
    Kept to few upstreams like a crashing one, it would wait there beside idle ones.
    Given 9 hosts and 9 upstreams of 4 slots in 4 failure domains
    When a sound request arrives 50 times within 0.03 seconds, at all hosts in turn
    Then each caller is served, and no upstream was idle

  Scenario: Two such requests beside sound ones
    Requests that run beside them fail repeatedly without being the cause.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    And harmless requests arrive 8 times a second, each 4 times whatever the result
    When 2 crashing requests arrive every 0.5 seconds for 10 seconds, at all hosts in turn
    Then each of them has crashed at most 6 upstreams
    And no harmless request was refused for crashing upstreams

  Scenario Outline: Upstreams that crash without a cause blame nobody: seed <seed>
    One of nine crashes each second, so long streams are cut by chance.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    And harmless requests arrive 8 times a second, each 4 times whatever the result
    When upstreams crash once a second for 30 seconds, by seed <seed>
    Then no harmless request was refused for crashing upstreams

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Simultaneous crashes do not quarantine a request that all callers send
    All callers send an identical look-up, so each upstream was running it.
    Given 9 hosts and 9 upstreams in 4 failure domains, for repeated requests
    And "look-up" arrives 40 times a second for 6 seconds
    When 4 upstreams crash at the same time, after 3 seconds
    Then no harmless request was refused for crashing upstreams

  Scenario Outline: All hosts know in time: <fault>, <hosts> hosts
    A host without the verdict keeps sending the request to upstreams.
    Given <hosts> hosts and 12 upstreams in <domains> failure domains, for resumed requests
    And the fault "<fault>"
    When a crashing request arrives every 0.3 seconds for 6 seconds, at all hosts in turn
    Then each running host keeps it from upstreams 3 seconds after its third crash

    Examples:
      | hosts | domains | fault        |
      | 9     | 4       | none         |
      | 30    | 3       | none         |
      | 30    | 3       | store away   |
      | 30    | 3       | readers ended |

  Scenario: A failure domain that was cut off knows once it is back
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    And one failure domain is partitioned from the others
    When a crashing request arrives every 0.3 seconds for 3 seconds, at the other hosts
    And the partition heals
    Then each running host keeps it from upstreams within 3 seconds

  Scenario: Hosts that all start again know what was in quarantine
    All processes are killed, so no peer is left to send the verdicts.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a crashing request arrives every 0.3 seconds for 3 seconds, at all hosts in turn
    And all hosts are killed and restart
    Then each running host keeps it from upstreams within 3 seconds

  Scenario: A request that an operator releases is sent again by all hosts
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a crashing request arrives every 0.3 seconds for 3 seconds, at all hosts in turn
    And an operator deletes its entry
    Then no host keeps it from upstreams after 2 seconds
    And its entry does not reappear

  Scenario: A released request that crashes upstreams again is quarantined again
    An entry newer than the release must not be mistaken for the older one.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a crashing request arrives every 0.3 seconds for 3 seconds, at all hosts in turn
    And an operator deletes its entry
    And 2 seconds pass for all hosts
    And a crashing request arrives every 0.3 seconds for 3 seconds, at all hosts in turn
    Then each running host keeps it from upstreams within 3 seconds
    And its entry exists

  Scenario: An entry newer than a release is applied, not deleted
    The host reads it from the store before any peer sends the verdict.
    Given a host that has applied a release and reads the store
    When the store reports a newer entry for the same request
    Then the host keeps it from upstreams
    And it has not deleted the entry

  Scenario: A request that runs to completion is released
    A copy was still running when the verdict was reached.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a crashing request arrives every 0.3 seconds for 3 seconds, at all hosts in turn
    And one host sees it run to completion
    Then no host keeps it from upstreams after 2 seconds
    And its entry does not reappear

  Scenario Outline: A report and a clearing of one request do not chase each other: <hosts> hosts
    Each host that had been told both in turn passed both on again.
    Given <hosts> hosts and 9 upstreams in <domains> failure domains, for resumed requests
    When two hosts report a request, and <gap> seconds later two others see it run to completion
    Then each host has cleared it at most once within 5 seconds

    Examples:
      | hosts | domains | gap  |
      | 9     | 4       | 0.05 |
      | 30    | 3       | 0.05 |

  Scenario: Reports of an upstream that answers are void
    A full upstream refused connections and was mistaken for a crashed one.
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a host wrongly reports 3 upstreams as crashed while running a request
    And a request is answered by one of them
    Then no host keeps it from upstreams after 2 seconds

  Scenario: The caller is refused at once, and not asked to retry
    Its stage work takes seconds, and 503 would mean that it may be retried.
    Given a forwarded "resumable" request whose fingerprint is in quarantine
    When the forwarded request arrives
    Then the caller of the forwarded request gets 502
    And it is not told when to retry
    And 0 forwarded sends were made

  Scenario: A request that was waiting when the verdict was reached is not sent
    Given a forwarded "resumable" request with stage work
    And its stage work never ends
    When its fingerprint is quarantined, and the stage work ends
    Then the caller of the forwarded request gets 502
    And 0 forwarded sends were made

  Scenario: A verdict expires, in the store as well
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a crashing request arrives every 0.3 seconds for 3 seconds, at all hosts in turn
    And 600 seconds pass for all hosts
    Then no host keeps it from upstreams after 2 seconds
    And its entry does not reappear

  Scenario: Memory of crashes and verdicts is bounded
    A caller sends a different request each time, and each crashes an upstream.
    Given a host's quarantine
    When 5000 crashes with 200 suspects each are reported to the host
    Then it remembers at most 256 crashes, of 128 suspects each
    And it remembers at most 1024 verdicts of 5000

  Scenario: Pieces that crash a stage upstream are told from those beside them
    Retried in one call, all pieces would crash the next upstream together.
    Given a queue over 4 workers with pieces of "a", "crashing" and "b" in one call
    When each worker crashes that has a piece of "crashing"
    Then the pieces of "a" and "b" are made
    And "crashing" was sent to 2 workers, and is refused

  Scenario: The pieces of a broken stage call are reported before they are retried
    Given a stage call with pieces of "a" and "b"
    When its upstream crashes
    Then both are reported as in flight there, and then the call counts as lost

  Scenario: Waiting pieces of a quarantined request are dropped
    Given a queue over 1 workers with pieces of "a", "crashing" and "b" in one call
    And pieces of "late" wait there
    When "late" is quarantined
    Then "late" is refused for crashing upstreams
    And "late" is refused for the same reason when it is retried

  Scenario: An operator lists quarantined requests and releases one by the command
    Given 9 hosts and 9 upstreams in 4 failure domains, for resumed requests
    When a crashing request arrives every 0.3 seconds for 3 seconds, at all hosts in turn
    Then the command lists one request of a team, with its service and crashes
    When an operator releases it by the command
    Then no host keeps it from upstreams after 2 seconds
    And the command lists no request
