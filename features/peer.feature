Feature: peer connections between entry hosts

  Scenario: Two peers that dial each other at one instant keep one link
    Each sees the other's connection after its own. If each kept the newer
    one, both would be closed, and dialed again, and closed again.
    Given peer hosts "a, b"
    When peers "a" and "b" dial each other at one instant
    Then peers "a" and "b" have one link to each other
    And peer "a" asked "b" for "echo" of "question" gets "question"

  Scenario: A stranger at the peer port gets nothing
    Someone scans the network and finds the port. Whatever is sent, no byte
    comes back, so that not even the kind of server can be told.
    Given a peer port on the loopback
    When a stranger sends 40 random openings to the peer port
    And a stranger with another peer key dials the peer port
    Then no stranger received a byte from the peer port
    And every stranger's peer connection was closed

  Scenario: A recorded opening opens no peer link
    Someone on the way has recorded a handshake and plays it again later. The
    listener's nonce is new, so the recorded proof does not fit.
    Given a recorded peer handshake
    When the recorded peer handshake is played to the listener again
    Then the peer listener refuses it as "stranger"

  Scenario Outline: A peer frame that was tampered with closes the link
    Something on the way changes, repeats or leaves out a frame. Taken as
    it is, a host would act on news that its peer never sent, or sent once.
    Given two open peer sessions
    When a peer frame is <change>
    Then the peer session ends by "wrong tag"

    Examples:
      | change   |
      | altered  |
      | repeated |
      | left out |
      | returned |

  Scenario Outline: An oversize peer frame is refused from its first bytes
    Given two open peer sessions
    When a peer states a frame of <size> bytes <when> the handshake
    Then the peer session ends by "oversize frame: <size> bytes"

    Examples:
      | size    | when   |
      | 1025    | before |
      | 1200001 | after  |

  Scenario: Peer messages that are garbled end their link and no other
    A peer of a faulty release sends garbled messages with right tags. Its
    link ends; the links to other peers go on.
    Given peer hosts "a, b, c"
    And peer "a" keeps links to "b, c"
    When peer "b" sends 200 garbled messages to "a"
    Then peer "a" still has its first link to "c"
    And peer "a" refused some of the garbled messages

  Scenario: A silent peer path is found and dialed anew
    A firewall forgets the connection. Nothing fails, nothing arrives: the
    link looks open at both ends for good.
    Given peer hosts "a, b"
    And peer "a" keeps links to "b"
    When the peer path is silent for 6 seconds
    Then the peers logged "peer-silent" twice
    And within 20 seconds peer "a" has a new link to "b"

  Scenario: Peers redial with jitter
    A host comes back and all its peers dial it. At one instant they would be
    a burst; each waits for a random part of its pause.
    Given 30 peer hosts that keep a link to a peer host that is gone
    When 60 peer seconds pass
    Then no tenth of a peer second saw more than 12 of the 30 dial
    And each peer host dialed between 8 and 30 times

  Scenario: Neighbouring peer releases talk
    Hosts are restarted one by one, so that releases meet. A newer one sends
    fields and kinds of messages that the older has never heard of.
    When a peer heartbeat of the next release is read by this one
    Then its known peer fields are right
    And a peer message kind of the next release is left alone
    And a peer heartbeat of this release is right in the next one

  Scenario: A peer release that is too far away is refused
    Given a peer host "a" that speaks versions 1 to 1
    And a peer host "b" that speaks versions 2 to 3
    When peer "a" dials "b" for 3 seconds
    Then peers "a" and "b" have no link
    And the peers refused "version 1 not spoken"

  Scenario: The peer key is changed host by host
    The key has leaked. Hosts are restarted one by one, first with the new key
    as second, then as first, then alone; at no step a link is refused.
    Then peers with these keys open a link
      | dialer  | listener |
      | old     | old,new  |
      | old,new | old      |
      | new,old | old,new  |
      | old,new | new,old  |
      | new     | new,old  |
      | new,old | new      |
    And peers with these keys open no link
      | dialer | listener |
      | old    | new      |
      | new    | old      |

  Scenario: Peer requests end whatever happens
    Given peer hosts "a, b"
    And peer "a" keeps links to "b"
    Then peer "a" asked "b" for "never" gets the reason "timeout"
    And peer "a" asked "b" for "nonsense" gets the reason "unknown subject"
    And peer "a" asked "b" for "broken" gets the reason "unknown subject"
    And peer "a" asked "x" for "echo" gets the reason "no route"
    And peer "a" asked "b" for "never" while "b" dies gets the reason "lost"

  Scenario: A peer request opens a link where there is none
    Given peer hosts "a, b"
    Then peer "a" asked the unlinked "b" for "echo" of "kept" gets "kept"
    And after 40 peer seconds peers "a" and "b" have no link

  Scenario: A restarted peer takes the place of its old link
    A host dies without a word and is back before anyone has noticed. The old
    link must not stand in the way of the new one.
    Given peer hosts "a, b"
    And peer "b" keeps links to "a"
    When peer "b" starts anew with a higher boot number
    Then peer "a" has its link to the new process "b"
