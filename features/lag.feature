Feature: maximum age of the configuration and registry data of a host

  Scenario: Hosts whose readers the store refuses receive a change in time
    A revoked key was still accepted after three seconds.
    When the fault "readers refused" affects a domain of 30 hosts
    Then each host that reaches the store applied each change within 3.0 seconds

  Scenario: A domain whose readers the store refuses gets another reader
    28 hosts each read the store themselves, as they had no link to a third
    reader.
    Given a domain of 30 hosts
    When the store refuses its readers, and 4 seconds pass
    Then one of the other hosts reads the store and the rest follow it

  Scenario: A reader without the store is asked with exponential backoff
    During each request to such a reader a host gets no updates of a reader that
    has the store: two requests at first, then one each after 3 and 6 seconds.
    Given a domain of 30 hosts
    When the store refuses its readers, and 18 seconds pass
    Then each other host has received at most 4 answers of each of them that it has no store

  Scenario: An invalid configuration does not make hosts alternate between reader and store
    The reader reaches the store, but its last verified configuration is old.
    Each update made a host follow its reader again, and the store half a second
    later.
    Given a domain of 30 hosts
    When an invalid configuration is written, and 12 seconds pass
    Then no host has switched back to a reader more than 3 times
    And each called the store at most a quarter more than a host without readers

  Scenario: A host whose reader lags reads the store itself in time
    The reader's update is valid, but does not verify the newer configuration
    that the host has read since.
    Given a domain of 10 hosts with a bound of 2 seconds
    When the reader of one of them lags, and 6 seconds pass
    Then its verification was never over 2.0 seconds old

  Scenario Outline: A store that <fault> all hosts is not called for each kind
    Each host of a domain called it three times more as its readers failed.
    Given a domain of 30 hosts
    When the store <fault> all hosts, and 4 seconds pass
    Then no follower has read anything but the configuration from it

    Examples:
      | fault   |
      | refuses |
      | ignores |

  Scenario: A full list that a host asks for while a request is on its way is not forgotten
    Guards against a host that lost its reader for a moment, and from then on knows no list and hears of no change.
    Given a domain of 10 hosts with a bound of 2 seconds
    When 6 seconds pass there, and its upstream leaves
    Then each host knows within 2.0 seconds that it leaves
    And no list of a reader was without an answer

  Scenario Outline: Changes arrive in time in domains of any size: <fault>
    Revoked keys, leaving upstreams and drained domains stayed in use for longer
    the more hosts a domain had.
    When the fault "<fault>" affects domains of 3,10,30,43 hosts each
    Then each host that reaches the store applied each change within 2.0 seconds
    And it applied leaving upstreams and drained domains within 2.0 seconds
    And no host refused requests because its configuration was too old

    Examples:
      | fault                   |
      | none                    |
      | readers refused         |
      | readers silenced        |
      | a third refused         |
      | readers frozen          |
      | one refused, one frozen |
      | readers ended           |
      | store slow              |
      | history dropped         |
      | store away for all      |
