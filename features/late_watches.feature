Feature: hosts that hear of upstreams late keep streams to their versions

  Scenario Outline: Versions are kept apart while watches are <seconds> s late
    Guards against a host that takes the only version that it knows for the only one there is.
    Given 9 hosts in 4 domains, and as many upstreams of no versions
    When watches are <seconds> s late while streams run, with seeds <first> and <second>
    Then at most 0 streams of each run have events of two versions
    And the streams that callers take up go on at least half as often as new ones begin

    Examples:
      | seconds | first | second |
      | 1.5     | 5     | 7      |
      | 2.5     | 7     | 7      |

  Scenario Outline: A stream of a version that its host has not heard of, <seconds> s late: <others>
    Guards against a host in contact with the store that joins a stream it asks nobody about.
    Given 9 hosts in 4 domains, and those of one domain hear of upstreams <seconds> s late
    When upstreams of a second version start, and a stream begins there at another host
    And that host ends, and the stream is taken up at the late one while <others>
    Then that caller gets further events of the second version

    Examples:
      | seconds | others                |
      | 0.8     | all others are there  |
      | 2.5     | all others are there  |
      | 2.5     | no other host is left |

  Scenario: The store is lost after one host alone has heard of a second version
    Guards against hosts whose histories stop at different moments and that conclude from them.
    Given 9 hosts in 4 domains, all but one of which hear of upstreams 2.5 s late
    When upstreams of a second version start, and the store is lost
    And a stream begins at the host that knows them, which ends at once
    And the stream is taken up at another host
    Then that caller is refused for unknown version

  Scenario: A host that hears late takes no version out of the record
    Guards against a late host that writes over what others have recorded for it.
    Given a host that has followed one version for two minutes
    When another host records a second version
    Then the record has both versions 30 seconds later
    And it has the first version alone 70 seconds later, if no upstream of the second appears

  Scenario: A second version has come and gone before its stream is taken up
    Guards against a read that shows what is registered, taken for all that was.
    Given 9 hosts in 4 domains, and those of one domain hear of upstreams 2.5 s late
    When upstreams of a second version start, and a stream begins there at another host
    And that host and these upstreams end, and the stream is taken up at the late one
    Then that caller is refused for no upstream of its version

  Scenario: The record still names a version after a host was without the store
    Guards against a version that counts as old because the host had read of it before the gap.
    Given a host that has read a record of two versions, and lists one
    When the store does not answer it for 75 seconds, and it finds the record as it was
    Then it can't tell at which version a stream began

  Scenario: Hosts forget a version that one of them began a stream at by mistake
    Guards against hosts that tell each other of a version that no registry lists.
    Given 9 hosts in 4 domains, and as many upstreams of no versions
    When upstreams of a second version come and go, and a stream of an unknown version begins
    Then no host has seen several versions 75 seconds later

  Scenario Outline: A read beside a watch hides no change: <change>
    Guards against a change that a list has overtaken, and that the watch then drops.
    Given a watch that is answered 0.8 s late
    When an object <change>, and the kind is read at once
    Then the callback was told of <told> by the read
    And in the end it was told of <all>
    And the watch has reported nothing stale

    Examples:
      | change              | told    | all               |
      | appears             | written | written           |
      | appears and is gone | nothing | written, deleted  |

  Scenario: A question that comes during a read waits for the next one
    Guards against a read that had been answered before the question came.
    Given shared reads, one of which is in progress
    When another question comes, and the read in progress ends
    Then that question is open, and a second read has begun
    When the second read ends
    Then that question is answered

  Scenario: A watch that is late is told from one without changes
    Guards against a host that is behind, and of which no line or gauge shows it.
    Given a host that watches a kind and reads another one five times a second
    When its watch is answered 0.8 s late
    Then it logs a late watch of at least 500 ms
    When its watch is answered in time
    Then it logs no more late watches
