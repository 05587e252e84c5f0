Feature: how old what a host acts on may get

  Scenario: Hosts whose readers the store turns away learn of a change in time
    A key that was taken away was still served after three seconds.
    When "readers refused" comes over a domain of 30 hosts
    Then each host in touch with the store had each change within 3.0 seconds

  Scenario: A domain whose readers the store turns away gets another reader
    28 hosts read the store each for itself, as they had links to no third one.
    Given a domain of 30 hosts
    When the store refuses its readers, and 4 seconds pass
    Then all other hosts but one follow that one

  Scenario: A reader that stays without the store is asked ever more rarely
    Each ask of such a reader is time without the word of the one that has it:
    two at first, then one each after 3 and 6 seconds.
    Given a domain of 30 hosts
    When the store refuses its readers, and 18 seconds pass
    Then each other host has heard at most 4 times that each of them has no store

  Scenario: A configuration that can't be used does not send hosts back and forth
    Its reader is in touch with the store, and what it can prove is old. Each word
    led a host back to its reader, and to the store half a second later.
    Given a domain of 30 hosts
    When a configuration that can't be used is written, and 12 seconds pass
    Then no host has gone back to a reader more than 3 times
    And each called the store at most a quarter more than a host without readers

  Scenario: A host whose reader lags reads for itself in time
    Its reader's word holds, and proves nothing of what the host has read since.
    Given a domain of 10 hosts with a bound of 2 seconds
    When the reader of one of them lags, and 6 seconds pass
    Then its proof was never over 2.0 seconds old

  Scenario Outline: A store that <fault> all is not called for each kind of news
    Each host of a domain called it three times more as its readers failed.
    Given a domain of 30 hosts
    When the store <fault> all, and 4 seconds pass
    Then no follower has asked it for anything but the configuration

    Examples:
      | fault   |
      | refuses |
      | ignores |

  Scenario Outline: News in time, whatever the size of a domain: <fault>
    Keys taken away, upstreams that leave and drained domains count on for longer
    the more hosts a domain has.
    When "<fault>" comes over a domain of each of 3,10,30,43 hosts
    Then each host in touch with the store had each change within 2.0 seconds
    And it knew of upstreams that leave and of drained domains within 2.0 seconds
    And no host refused requests for want of a newer configuration

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
