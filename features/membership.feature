Feature: membership: leaving upstreams get no new work

  Scenario Outline: A leaving upstream gets no new work after 3 s
    An upstream states in its load report that it is leaving. A host that
    hears late goes on sending, and the calls are cut off when it ends.
    Given a membership fleet of 9 hosts with 28 upstreams
    And the membership platform is <platform>
    When upstream "engine-1" states that it is leaving
    Then no membership host gives "engine-1" new work after 3 seconds
    And no membership host gives it new work in the next 60 seconds

    Examples:
      | platform                    |
      | up                          |
      | down                        |
      | cut off from domain "b"     |
      | cut off from all but "a"    |

  Scenario: Leaving is known in a cut domain, and elsewhere after the cut
    The domain of a leaving upstream is cut off from the others. Its own hosts
    must stop within 3 s; the others can't reach it, and must know when they
    can again.
    Given a membership fleet of 9 hosts with 28 upstreams
    And membership domain "b" is cut from the other domains
    When upstream "engine-1" states that it is leaving
    Then no membership host of domain "b" gives "engine-1" new work after 3 seconds
    When membership domain "b" reaches the others again
    And 12 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds

  Scenario: An address used again gets work, whatever old news say
    The upstream has left and a new process has its address. Old news that the
    process before is leaving come late; the new one must not be stopped.
    Given a membership fleet of 9 hosts with 28 upstreams
    And upstream "engine-1" has left
    When a new process takes the address of upstream "engine-1"
    Then all membership hosts give "engine-1" work within 6 seconds
    When a late answer of "engine-1-1" says that it is leaving
    And a membership peer sends its old record of "engine-1"
    And 3 membership seconds pass
    Then all membership hosts give "engine-1" work within 0 seconds

  Scenario: Stale news can't undo leaving
    A peer that was cut off, a lagging host list and a late answer still show
    the upstream as live. Believed, each would send it new work again.
    Given a membership fleet of 9 hosts with 28 upstreams
    And the old membership record of upstream "engine-1" is kept
    And upstream "engine-1" has left
    When a membership peer sends its old record of "engine-1"
    And the host list shows "engine-1" as live in incarnation 1
    And a late answer of "engine-1-1" says that it is live
    And 10 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds

  Scenario: An incarnation that has left stays so when it is seen again
    A poll that was sent to the old process is answered after the new one was
    seen, and a restarted host knows no better than that.
    Given a membership fleet of 9 hosts with 28 upstreams
    And upstream "engine-1" has left
    When a new process takes the address of upstream "engine-1"
    And 5 membership seconds pass
    And the process before takes it back and says that it is live
    And 5 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds

  Scenario: A late answer to a membership poll does not bring the old back
    A watcher asks the process before, and its answer comes when the other
    watcher has already seen the new one. Taken as newer, it would stop the
    new process for as long as the watchers disagree.
    Given a membership fleet of 9 hosts with 28 upstreams
    And upstream "engine-1" has left
    When one membership poll of "engine-1" is answered late, after a new process was seen
    Then all membership hosts give "engine-1" work within 0 seconds

  Scenario: An upstream that only the host list knows to leave
    The platform takes a host out of service and the process on it does not
    know. The list is all that tells, and one domain can't read it.
    Given a membership fleet of 9 hosts with 28 upstreams
    And the membership platform is cut off from domain "b"
    And the host list shows "engine-1" as live in incarnation 1
    And 8 membership seconds pass
    When the host list shows "engine-1" as leaving in incarnation 1
    And 5 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds

  Scenario: A host list that lags does not stop the process that came after
    The list still shows the process before, as leaving, when the next one has
    taken its name and address.
    Given a membership fleet of 9 hosts with 28 upstreams
    And the host list shows "engine-1" as live in incarnation 1
    And 8 membership seconds pass
    And upstream "engine-1" has left
    When a new process takes the address of upstream "engine-1"
    And 8 membership seconds pass
    And the host list shows "engine-1" as leaving in incarnation 1
    And 8 membership seconds pass
    Then all membership hosts give "engine-1" work within 0 seconds

  Scenario: One host that can't reach an upstream does not drop it for all
    One host's way to an upstream is broken. Dropped on its word, a good
    upstream would stand idle in the whole fleet.
    Given a membership fleet of 9 hosts with 28 upstreams
    And one watcher of upstream "engine-1" can't reach it
    And 20 membership seconds pass
    Then all membership hosts give "engine-1" work within 0 seconds

  Scenario: An upstream that all its watchers miss is dropped and comes back
    Given a membership fleet of 9 hosts with 28 upstreams
    When upstream "engine-1" dies
    And 8 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds
    When upstream "engine-1" can be reached again
    Then all membership hosts give "engine-1" work within 10 seconds

  Scenario: Two membership witnesses who change their minds at one instant
    Both watchers reach the upstream again at the same time, and their news
    cross. United by what both once said, the upstream would stay dropped for
    as long as the two go on polling at one instant.
    Given two membership tables with the witnesses "a, b" of one upstream
    When each membership witness withdraws and their news cross
    Then both membership tables have no witness left

  Scenario: Membership does not drop most of a pool
    Most upstreams seem dead at one instant. It is more likely that the
    watchers are cut off; dropping all would turn every request away.
    Given a membership fleet of 9 hosts with 28 upstreams
    When 20 of the upstreams die
    And 15 membership seconds pass
    Then all membership hosts give "engine-1" work within 0 seconds
    And the membership log has "down-ignored"

  Scenario: A watcher that dies is replaced
    Both watchers of an upstream die without a word. Nobody asks it for its
    state, unless others take over.
    Given a membership fleet of 16 hosts with 28 upstreams
    And both watchers of upstream "engine-1" die
    And 15 membership seconds pass
    When upstream "engine-1" states that it is leaving
    Then no membership host gives "engine-1" new work after 3 seconds

  Scenario: Membership news that were lost are found
    A host is so busy that its connections drop and the news of an upstream's
    leaving never arrive. Only comparing the tables shows what is missing.
    Given a membership fleet of 9 hosts with 28 upstreams
    And membership host "c-2" loses all news for 2 seconds
    And upstream "engine-1" has left
    And 10 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds

  Scenario: Without comparing sums lost membership news stay lost
    The control of the scenario above.
    Given a membership fleet of 9 hosts with 28 upstreams
    And no membership host compares sums
    And membership host "c-2" loses all news for 2 seconds
    And upstream "engine-1" has left
    And 10 membership seconds pass
    Then membership host "c-2" gives "engine-1" new work

  Scenario: Both sides of a partition find each other again
    Two domains lose the others for ten minutes. Each side thinks that the
    other's hosts are gone; somebody has to try again.
    Given a membership fleet of 9 hosts with 28 upstreams
    And membership domain "b" is cut from the other domains
    When 120 membership seconds pass
    Then each side thinks that the membership hosts of the other are gone
    When membership domain "b" reaches the others again
    Then all membership hosts think that all are live within 20 seconds

  Scenario: A membership host whose clock was set back is not taken for the old
    A replaced host's clock lies behind that of the process before, so its
    boot number is lower. Its own record must win all the same.
    Given a membership fleet of 9 hosts with 28 upstreams
    When membership host "c-2" leaves and comes back with a lower boot number
    Then all membership hosts think that all are live within 10 seconds

  Scenario: Membership records merge the same in every order
    Then in 300 membership trials every order of news ends the same
    And a membership record that has left never comes back in any of them

  Scenario: The polls of a membership host stay flat as the fleet grows
    Then polls a membership host and second are at most these
      | hosts | upstreams | most |
      | 9     | 28        | 4.0  |
      | 24    | 76        | 4.0  |
