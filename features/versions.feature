Feature: streams go on only at the software version that began them

  Scenario Outline: A host goes on with a stream at its version
    Guards against one answer with events of two versions after an upstream crashed.
    Given <hosts> hosts in <domains> domains, and as many upstreams of two versions
    When upstreams crash while streams run, with seeds 1 and 2
    Then at most 2 streams of each run have events of two versions in one answer

    Examples:
      | hosts | domains |
      | 9     | 4       |

  Scenario Outline: A host goes on at its version with a stream of another host
    Guards against streams that a host joins whose beginning it never saw.
    Given <hosts> hosts in <domains> domains, and as many upstreams of two versions
    When hosts are killed while streams run, with seeds 1 and 2
    Then at most 2 streams of each run have events of two versions
    And the streams that callers take up go on at least half as often as new ones begin

    Examples:
      | hosts | domains |
      | 9     | 4       |

  Scenario: Hosts keep to the versions of streams while upstreams are replaced
    Guards against joined versions while those that begin streams leave for good.
    Given 9 hosts in 4 domains, and as many upstreams of two versions
    When hosts are killed and upstreams are replaced while streams run, with seeds 1 and 2
    Then at most 2 streams of each run have events of two versions

  Scenario Outline: Versions are kept apart in a larger fleet, and while <fault>
    Guards against hosts that go on with a stream although they can't tell its version.
    Given <hosts> hosts in <domains> domains, and as many upstreams of <count> versions
    When <fault> while streams run, with seeds <seed> and <seed>
    Then at most 2 streams of each run have events of two versions
    And the streams that callers take up go on at least half as often as new ones begin

    Examples:
      | hosts | domains | count | seed | fault                                       |
      | 30    | 3       | two   | 1    | hosts are killed                            |
      | 9     | 4       | two   | 1    | upstreams crash and hosts are killed        |
      | 9     | 4       | two   | 2    | the store is away and hosts are killed      |
      | 9     | 4       | two   | 1    | a domain is cut off                         |
      | 9     | 4       | no    | 2    | hosts are killed and upstreams are replaced |

  Scenario Outline: A host that has just started does not take the only version for the first
    Guards against streams of versions whose last upstream left before all hosts started again.
    Given 9 hosts in 4 domains, and as many upstreams of <count> versions
    When upstreams are replaced and all hosts restart while streams run, with seeds 1 and 2
    Then at most 2 streams of each run have events of two versions

    Examples:
      | count |
      | two   |
      | no    |

  Scenario: Streams go on after all hosts have ended
    Guards against streams whose version only hosts knew, all of which ended at once.
    Given 9 hosts in 4 domains, and as many upstreams of two versions
    When all hosts restart while streams run, with seeds 1 and 2
    Then at most 2 streams of each run have events of two versions
    And the streams that callers take up go on at least half as often as new ones begin

  Scenario Outline: Streams of an outage go on if any host reaches the store: <fault>
    Guards against keepers that alone know a stream and do not, or not yet, write it to the store.
    Given 9 hosts in 4 domains, and as many upstreams of two versions
    When <fault> while streams run, with seeds 1 and 2
    Then at most 0 streams of each run have events of two versions
    And the streams that callers take up go on at least half as often as new ones begin

    Examples:
      | fault                                           |
      | all hosts restart after the store is back       |
      | some hosts lose the store and all hosts restart |

  Scenario: Streams of an outage of the store in which all hosts end
    Guards against streams that nobody can go on with, as their version was known to hosts alone.
    Given 9 hosts in 4 domains, and as many upstreams of two versions
    When all hosts restart while the store is away while streams run, with seeds 1 and 2
    Then at most 0 streams of each run have events of two versions
    And the streams that callers take up go on at least half as often as new ones begin

  Scenario Outline: A missing record shows nothing: <fault>, <count> versions
    Guards against a version that served and was never recorded, taken for one that never was.
    Given 9 hosts in 4 domains, and as many upstreams of <count> versions
    When <fault> while streams run, with seeds 1 and 2
    Then at most 0 streams of each run have events of two versions

    Examples:
      | count | fault                                            |
      | no    | records are refused and all hosts restart        |
      | no    | records are refused and all hosts restart later  |
      | no    | the first writers are away and all hosts restart |
      | no    | the store is away and all hosts restart          |
      | two   | the store is away and all hosts restart          |

  Scenario Outline: Hosts of one version serve as before: <fault>
    The opposite case: nothing is refused for its version where there is only one.
    Given 9 hosts in 4 domains, and as many upstreams of no versions
    When <fault> while streams run, with seeds 1 and 2
    Then no try is refused for its version
    And the streams that callers take up go on at least half as often as new ones begin
    And no host tells another one, or the store, of streams
    And the store was told of one version, once

    Examples:
      | fault                                  |
      | upstreams crash                        |
      | hosts are killed                       |
      | all hosts restart                      |
      | the store is away and hosts are killed |

  Scenario Outline: A stream whose beginning nobody knows: <stream>, <count> versions
    Guards against callers that name a stream wrongly and get one that does not fit.
    Given 9 hosts in 4 domains, and as many upstreams of <count> versions
    When a stream has begun, and a caller takes up <stream>
    Then that caller <outcome>

    Examples:
      | stream                         | count | outcome                        |
      | it                             | two   | gets further events            |
      | it for another team            | two   | is refused for unknown version |
      | one that nobody began          | two   | is refused for unknown version |
      | one without naming its request | two   | is refused for unknown version |
      | it for another team            | no    | gets further events            |
      | one that nobody began          | no    | gets further events            |
      | one without naming its request | no    | gets further events            |

  Scenario Outline: A stream is told when its version has no upstream any more: <when>
    Guards against callers that wait, or come back, for a version that won't return.
    Given 9 hosts in 4 domains, and as many upstreams of no versions
    When a stream has begun, all upstreams are replaced, and it is taken up <when>
    Then that caller is refused for no upstream of its version
    And it is told <advice>

    Examples:
      | when            | advice                           |
      | at once         | to come back in about 2 seconds  |
      | after 7 seconds | nothing of when to come back     |

  Scenario: An upstream starts again in another version while a connection to it opens
    Guards against a stream that reaches the successor under the same identifier.
    Given a forwarded "resumable" request that takes up a stream
    When the upstream of forwarded send 0 starts again in another version before its connection is open
    Then nothing is sent to it, and the request is sent to another upstream

  Scenario: A record is written again after a write that showed a return of the store
    Guards against a writer that gives up for good when the answer to its write names a new era.
    Given a host that records the version of a service
    When the answer to its write shows that the store is back from an older copy
    Then it writes the versions that it sees from then on

  Scenario: A keeper writes its streams as soon as the store answers again
    Guards against streams that wait for the next try of their keeper and end with it.
    Given a keeper of streams whose store has been away for 10 seconds
    When the store answers again
    Then its streams are in the store within 0.6 seconds
    And it has written them once

  Scenario Outline: A keeper asks others to write what it could not write in time: the store <fault>
    Guards against streams that end with a keeper whose writes the store does not take.
    Given a keeper of streams whose store <fault>
    When a stream has waited there for <seconds> seconds
    Then others are asked to write <count> streams
    And the keeper <offer> to write those of others

    Examples:
      | fault                    | seconds | count | offer        |
      | takes 0.3 s for a call   | 0.9     | 0     | offers       |
      | takes 0.3 s for a call   | 3.0     | 0     | offers       |
      | refuses writes           | 0.9     | 1     | does not     |
      | answers no calls         | 1.2     | 1     | does not     |
      | is known to be away      | 1.2     | 1     | does not     |

  Scenario Outline: A host says whether it has written the streams of a peer: the store <fault>
    Guards against a peer that takes its streams for written, and ends with them.
    Given a keeper of streams whose store <fault>
    When a peer sends it a stream to write
    Then it answers that the stream is <outcome> within 1 second

    Examples:
      | fault                  | outcome     |
      | takes 0.3 s for a call | written     |
      | refuses writes         | not written |

  Scenario: A stream that is noted while a keeper reads its entry's version is written once
    Guards against a keeper that has written a stream and takes it for unwritten for good.
    Given a keeper of streams that has not read its entry, and calls that take 0.3 s
    When it notes another stream, and gets one of a peer, 0.1 s after the first
    Then all three are in its entry 3 seconds later, and it asks no host to write them
    And the keeper offers to write those of others
    And the peer was told that its stream is written

  Scenario Outline: What is recorded of a stream stays when <source> names another version
    Guards against one stream of which two hosts take up the events of two versions.
    Given a keeper that has recorded a stream at the version "unknown/"
    When <source> names the version "v1" for it
    Then its entry has the stream at "unknown/" alone after 2 seconds
    And it would hand the stream over at "unknown/" alone

    Examples:
      | source   |
      | a peer   |
      | the host |

  Scenario: A handover that fails with an error is tried again
    Guards against a keeper that hands nothing over any more after one error.
    Given a keeper of 3 hosts, none of which can write
    When asking a peer raises an error once, and its streams have been late for 5 seconds
    Then the error is logged once, and peers are asked again

  Scenario: A keeper that finds no host that can write asks all of them in turn
    Guards against a large fleet in which the few hosts that reach the store are never asked.
    Given a keeper of 40 hosts, none of which can write
    When its streams have been late for 60 seconds
    Then each host has been asked without being sent the streams

  Scenario: No stream is handed over while the store takes writes
    The opposite case of a store that some hosts do not reach.
    Given 9 hosts in 4 domains, and as many upstreams of two versions
    When hosts are killed while streams run, with seeds 1 and 2
    Then no host writes streams of others

  Scenario Outline: An entry of streams that another writer spoiled names none of them: <value>
    Guards against a host that ends, or binds a stream, by bytes that no host has written.
    Given a store whose entry of streams is <value>
    When a host looks a stream up there
    Then it finds no version, and no other read follows within a second

    Examples:
      | value                       |
      | null                        |
      | []                          |
      | {"streams": 3}              |
      | {"streams": {"v1": 3}}      |
      | {"streams": {"v1": "%%"}}   |
      | {"streams": {"v1": "AAAA"}} |

  Scenario Outline: An upstream that has ended may be of another version when it is back: <contact>
    Guards against streams that go on at a successor under the same identifier.
    Given a host whose store <contact> when an upstream ends and starts again under its identifier
    Then its version is <first> after 1 second
    And its version is <later> after 4 seconds

    Examples:
      | contact                      | first     | later     |
      | is away                      | not known | not known |
      | answers                      | not known | known     |
      | answers with its new entry   | known     | known     |

  Scenario: Hosts forget that there were several versions
    Guards against refusals after a later restart of all hosts that need none.
    Given 9 hosts in 4 domains, and as many upstreams of two versions
    When streams begin, and the upstreams of the first version leave
    Then the store has a record of both versions
    When 75 seconds have passed
    Then the store has a record of the second version

  Scenario: A stream that is taken up stays at its service on a split route
    Guards against a stream of one service that goes on at another one.
    Given two hosts with a route that is split between two services
    When 20 streams begin at one host, and are taken up at the other one
    Then each goes to the same service as before
    And both services get some of them

  Scenario: What hosts tell and ask of streams is read back, and other bytes are not
    Guards against a message of a peer that is broken off or of another kind.
    Given three streams of two versions that a host tells of
    Then a peer reads the same streams, with the time until they are forgotten
    And a peer reads the same question, and the same answer to it
    And no message that is cut short or changed at random ends a host
