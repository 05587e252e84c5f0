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

  Scenario Outline: Hosts of one version serve as before: <fault>
    The opposite case: nothing is refused for its version where there is only one.
    Given 9 hosts in 4 domains, and as many upstreams of one version
    When <fault> while streams run, with seeds 1 and 2
    Then no try is refused for its version
    And the streams that callers take up go on at least half as often as new ones begin

    Examples:
      | fault             |
      | upstreams crash   |
      | hosts are killed  |
      | all hosts restart |
