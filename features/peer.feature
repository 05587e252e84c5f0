Feature: peer connections between entry hosts

  Scenario: Two peers that dial each other at the same instant keep one link
    Each peer sees the other's connection after its own. If each kept the newer
    connection, both would be closed and redialed repeatedly.
    Given peer hosts "a, b"
    When peers "a" and "b" dial each other at the same instant
    Then peers "a" and "b" have one link to each other
    And peer "a" asked "b" for "echo" of "question" gets "question"

  Scenario: A stranger at the peer port gets nothing
    A network scan finds the port. The host sends no bytes to any input, so
    that the kind of server can't be identified.
    Given a peer port on the loopback
    When a stranger sends 40 random openings to the peer port
    And a stranger with another peer key dials the peer port
    Then no stranger received a byte from the peer port
    And every stranger's peer connection was closed

  Scenario: A replayed handshake opens no peer link
    An attacker on the network path records a handshake and replays it later.
    The listener's nonce is new, so the recorded tag is wrong.
    Given a recorded peer handshake
    When the recorded peer handshake is replayed to the listener
    Then the peer listener refuses it as "stranger"

  Scenario Outline: A peer frame that was tampered with closes the link
    An attacker on the network path changes, replays or drops a frame. If it
    were accepted, the host would process messages that its peer never sent, or
    process a message twice.
    Given two open peer sessions
    When a peer frame is <change>
    Then the peer session ends with "wrong tag"

    Examples:
      | change   |
      | altered  |
      | repeated |
      | left out |
      | returned |

  Scenario Outline: An oversize peer frame is refused when its length is received
    Given two open peer sessions
    When a peer states a frame of <size> bytes <when> the handshake
    Then the peer session ends with "oversize frame: <size> bytes"

    Examples:
      | size    | when   |
      | 1025    | before |
      | 1200001 | after  |

  Scenario: Garbled peer messages close only their own link
    A peer of a faulty release sends garbled messages with correct tags. Its
    link is closed; the links to other peers stay open.
    Given peer hosts "a, b, c"
    And peer "a" keeps links to "b, c"
    When peer "b" sends 200 garbled messages to "a"
    Then peer "a" still has its first link to "c"
    And peer "a" refused some of the garbled messages

  Scenario: A silent peer path is detected and redialed
    A firewall drops its state of the connection. No error occurs and no data
    arrives, so without a check the link would appear open at both ends.
    Given peer hosts "a, b"
    And peer "a" keeps links to "b"
    When the peer path is silent for 6 seconds
    Then the peers logged "peer-silent" twice
    And within 20 seconds peer "a" has a new link to "b"

  Scenario: A host that was stopped itself does not take its peers for silent
    A stopped process finds its checks due before it reads what has arrived, and
    closed all its links, whose unanswered requests ended as lost.
    Given peer hosts "a, b"
    And peer "a" keeps links to "b"
    When the process of the peers is stopped for 6 seconds
    And the peers run for 2 seconds
    Then peer "a" still has its first link to "b"
    When the peer path is silent for 6 seconds
    Then the peers logged "peer-silent" twice

  Scenario: Peers redial with jitter
    All peers of a host that has returned dial it. Each waits for a random part
    of its backoff, so that they do not dial in one burst.
    Given 30 peer hosts that keep a link to a stopped peer host
    When 60 peer seconds pass
    Then no tenth of a peer second saw more than 12 of the 30 dial
    And each peer host dialed between 8 and 30 times

  Scenario: Consecutive peer releases are compatible
    Hosts are restarted one by one, so two releases run at the same time. The
    newer one sends fields and kinds of messages unknown to the older one.
    When a peer heartbeat of the next release is read by this one
    Then its known peer fields are correct
    And a peer message kind of the next release is ignored
    And a peer heartbeat of this release is correct in the next one

  Scenario: A peer without a common protocol version is refused
    Given a peer host "a" that speaks versions 1 to 1
    And a peer host "b" that speaks versions 2 to 3
    When peer "a" dials "b" for 3 seconds
    Then peers "a" and "b" have no link
    And the peers refused "version 1 not spoken"

  Scenario: The peer key is changed host by host
    A leaked key is replaced. Hosts are restarted one by one, with the new key
    as second key, then as first, then alone. No step refuses a link.
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

  Scenario: Peer requests end in every case
    Given peer hosts "a, b"
    And peer "a" keeps links to "b"
    Then peer "a" asked "b" for "never" gets the reason "timeout"
    And peer "a" asked "b" for "nonsense" gets the reason "unknown subject"
    And peer "a" asked "b" for "broken" gets the reason "unknown subject"
    And peer "a" asked "x" for "echo" gets the reason "no route"
    And peer "a" asked "b" for "never" while "b" dies gets the reason "lost"

  Scenario: A peer request opens a missing link
    Given peer hosts "a, b"
    Then peer "a" asked the unlinked "b" for "echo" of "kept" gets "kept"
    And after 40 peer seconds peers "a" and "b" have no link

  Scenario: The link of a restarted peer replaces its old link
    A host crashes and restarts before its peers detect the loss of the
    connection. The old link must not prevent the new one.
    Given peer hosts "a, b"
    And peer "b" keeps links to "a"
    When peer "b" restarts with a higher boot number
    Then peer "a" has its link to the new process "b"

  Scenario: A question tells a process that has ended from a silent one
    A silent host may run and be cut off, so its work must not be taken over whole.
    Given a peer port on the loopback
    When the port is closed, and its hub asks a host at that address
    Then the question is unanswered as "refused"
    When the hub asks a host at an address that answers nothing
    Then the question is unanswered as "timeout"
