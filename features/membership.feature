Feature: membership: leaving upstreams get no new work

  Scenario Outline: A leaving upstream gets no new work after 3 s
    An upstream reports in its load that it is leaving. A host that is notified
    late continues to send calls, which are cut off when the upstream stops.
    Given a membership fleet of 9 hosts with 28 upstreams
    And the membership platform is <platform>
    When upstream "engine-1" reports that it is leaving
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
    must stop within 3 s; the others can't reach the upstream, and must know
    that it is leaving when they can reach it again.
    Given a membership fleet of 9 hosts with 28 upstreams
    And membership domain "b" is cut from the other domains
    When upstream "engine-1" reports that it is leaving
    Then no membership host of domain "b" gives "engine-1" new work after 3 seconds
    When membership domain "b" reaches the others again
    And 12 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds

  Scenario: A reused address gets work despite stale updates
    The upstream has left and a new process has its address. Stale updates that
    the previous process is leaving arrive late; the new one must get work.
    Given a membership fleet of 9 hosts with 28 upstreams
    And upstream "engine-1" has left
    When a new process takes the address of upstream "engine-1"
    Then all membership hosts give "engine-1" work within 6 seconds
    When a late answer of "engine-1-1" reports that it is leaving
    And a membership peer sends its old record of "engine-1"
    And 3 membership seconds pass
    Then all membership hosts give "engine-1" work within 0 seconds

  Scenario: Stale updates can't undo leaving
    A peer that was cut off, a lagging host list and a late answer still show
    the upstream as live. If one was accepted, it would get new work again.
    Given a membership fleet of 9 hosts with 28 upstreams
    And the old membership record of upstream "engine-1" is kept
    And upstream "engine-1" has left
    When a membership peer sends its old record of "engine-1"
    And the host list shows "engine-1" as live in incarnation 1
    And a late answer of "engine-1-1" reports that it is live
    And 10 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds

  Scenario: An incarnation that has left stays leaving when it is seen again
    A poll that was sent to the old process is answered after the new one was
    seen, and a restarted host has only this answer.
    Given a membership fleet of 9 hosts with 28 upstreams
    And upstream "engine-1" has left
    When a new process takes the address of upstream "engine-1"
    And 5 membership seconds pass
    And the previous process takes it again and reports that it is live
    And 5 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds

  Scenario: A late answer to a membership poll does not restore the old process
    A watcher polls the previous process, and its answer arrives after the other
    watcher has seen the new one. If it counted as newer, the new process would
    get no work for as long as the watchers disagree.
    Given a membership fleet of 9 hosts with 28 upstreams
    And upstream "engine-1" has left
    When one membership poll of "engine-1" is answered late, after a new process was seen
    Then all membership hosts give "engine-1" work within 0 seconds

  Scenario: An upstream that only the host list shows as leaving
    The platform takes a host out of service and the process on it does not
    know. Only the list shows it, and one domain can't read the list.
    Given a membership fleet of 9 hosts with 28 upstreams
    And the membership platform is cut off from domain "b"
    And the host list shows "engine-1" as live in incarnation 1
    And 8 membership seconds pass
    When the host list shows "engine-1" as leaving in incarnation 1
    And 5 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds

  Scenario: A lagging host list does not stop the next process
    The list still shows the previous process, as leaving, when the next one has
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

  Scenario: One host that can't reach an upstream does not remove it for all
    The connection from one host to an upstream is broken. If its report alone
    counted, a healthy upstream would be idle in the whole fleet.
    Given a membership fleet of 9 hosts with 28 upstreams
    And one watcher of upstream "engine-1" can't reach it
    And 20 membership seconds pass
    Then all membership hosts give "engine-1" work within 0 seconds

  Scenario: An upstream that no watcher reaches is removed until it is reachable
    Given a membership fleet of 9 hosts with 28 upstreams
    When upstream "engine-1" fails
    And 8 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds
    When upstream "engine-1" can be reached again
    Then all membership hosts give "engine-1" work within 10 seconds

  Scenario: Two membership witnesses that withdraw at the same time
    Both watchers reach the upstream again at the same time, and their updates
    cross. If the merge kept the earlier reports, the upstream would stay
    removed for as long as the two poll at the same time.
    Given two membership tables with the witnesses "a, b" of one upstream
    When each membership witness withdraws at the same time
    Then both membership tables have no witness left

  Scenario: Membership does not remove most of a pool
    Most upstreams seem to fail at the same time. It is more likely that the
    watchers are cut off; removing all would refuse every request.
    Given a membership fleet of 9 hosts with 28 upstreams
    When 20 of the upstreams fail
    And 15 membership seconds pass
    Then all membership hosts give "engine-1" work within 0 seconds
    And the membership log has "down-ignored"

  Scenario: A watcher that fails is replaced
    Both watchers of an upstream fail without notice. No host polls its state
    unless others take over.
    Given a membership fleet of 16 hosts with 28 upstreams
    And both watchers of upstream "engine-1" fail
    And 15 membership seconds pass
    When upstream "engine-1" reports that it is leaving
    Then no membership host gives "engine-1" new work after 3 seconds

  Scenario: Lost membership updates are detected
    A host is so busy that its connections drop and the update that an upstream
    is leaving never arrives. Only a comparison of the tables detects the loss.
    Given a membership fleet of 9 hosts with 28 upstreams
    And membership host "c-2" loses all updates for 2 seconds
    And upstream "engine-1" has left
    And 10 membership seconds pass
    Then no membership host gives "engine-1" new work after 0 seconds

  Scenario: Without a comparison of sums lost membership updates stay lost
    Control of the scenario above.
    Given a membership fleet of 9 hosts with 28 upstreams
    And no membership host compares sums
    And membership host "c-2" loses all updates for 2 seconds
    And upstream "engine-1" has left
    And 10 membership seconds pass
    Then membership host "c-2" gives "engine-1" new work

  Scenario: Both sides of a partition reconnect
    Two domains lose the others for ten minutes. Each side considers the hosts
    of the other gone; a host must try to connect again.
    Given a membership fleet of 9 hosts with 28 upstreams
    And membership domain "b" is cut from the other domains
    When 120 membership seconds pass
    Then each side considers the membership hosts of the other gone
    When membership domain "b" reaches the others again
    Then all membership hosts consider all live within 20 seconds

  Scenario: A membership host whose clock was set back replaces its old record
    The clock of a replaced host is behind that of the previous process, so its
    boot number is lower. Its own record must take precedence all the same.
    Given a membership fleet of 9 hosts with 28 upstreams
    When membership host "c-2" leaves and restarts with a lower boot number
    Then all membership hosts consider all live within 10 seconds

  Scenario: Membership records merge the same in every order
    Then in 300 membership trials every order of updates ends the same
    And a leaving membership record never becomes live again in any of them

  Scenario: The polls of a membership host stay constant as the fleet grows
    Then the polls per membership host and second are at most these
      | hosts | upstreams | most |
      | 9     | 28        | 4.0  |
      | 24    | 76        | 4.0  |
