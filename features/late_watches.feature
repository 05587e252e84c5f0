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

  Scenario: A watch that is late is told from one without changes
    Guards against a host that is behind, and of which no line or gauge shows it.
    Given a host that watches a kind and reads another one five times a second
    When its watch is answered 0.8 s late
    Then it logs a late watch of at least 500 ms
    When its watch is answered in time
    Then it logs no more late watches
