Feature: shares of a stage queue by urgency and team

  Scenario Outline: Only services with graded target latencies have shares
    Where target latencies are equal, the expected wait already prefers the more
    urgent, and shares would only refuse requests that could be served.
    Given routes over a stage with urgencies and target latencies "<routes>"
    Then the stage <is> graded

    Examples:
      | routes                       | is     |
      | 0 1.0, 1 1.25, 2 1.6         | is     |
      | 0 1.0, 1 2.0, 1 3.0, 2 4.0   | is     |
      | 0 1.0, 1 2.0                 | is not |
      | 0 2.0, 1 2.0, 2 2.0          | is not |
      | 0 1.0, 1 2.0, 2 2.4          | is not |
      | 0 1.0, 0 1.9, 1 2.0, 2 4.0   | is not |
      | 2 1.0, 1 2.0, 0 4.0          | is not |

  Scenario: A changed configuration changes the queue
    A queue that kept its shares when its routes became equal would go on to
    refuse requests for the sake of others.
    Given a host whose routes over a stage are graded
    Then its queue of the stage has shares
    When the routes over its stage become equal
    Then its queue of the stage has no shares

  Scenario: A new owner begins with empty windows
    The state is lost with the owner. With few groups seen, one refusal would
    make all less urgent groups yield.
    Given shares that have seen 19 urgent groups refused
    Then a less urgent group is not refused for its share
    When one more urgent group is refused
    Then a less urgent group is refused as "less urgent"
    And 2.1 seconds later it is not refused for its share

  Scenario: No urgency is starved by more urgent ones
    Given shares that have seen 40 urgent groups refused
    And 1 of 5 less urgent groups was admitted
    Then a less urgent group is not refused for its share

  Scenario: A team above its equal share yields to the others
    Team "a" fills a queue that then refuses the others.
    Given shares that have seen 30 groups of "a" admitted
    And 10 groups of "b" and 10 of "c" refused
    Then a group of "a" is refused as "team share"
    But a group of "b" is not refused for its share

  Scenario: A team is not refused below a quarter of the others' share
    Team "a" offers far more than all others. Its equal share is less than a
    quarter of what all teams together get of theirs.
    Given shares that have seen 4 of 96 groups of "a" admitted
    And 1 of 2 groups of each of 30 other teams admitted
    Then a group of "a" is not refused for its share

  Scenario: The largest groups are not refused for the sake of others
    Large groups need the longest waits, so the expected wait refuses them first.
    Given shares that have seen 40 urgent groups refused
    And 30 of 30 small and 0 of 3 large less urgent groups were admitted
    Then a large less urgent group is not refused for its share
    But a small less urgent group is refused as "less urgent"

  Scenario: A later step that ends after the deadline is refused at once
    Its results would be made for nobody, and its inputs would be held until the
    deadline.
    Given a graded stage queue over workers in "a"
    When a later stage group "x" comes 0.1 seconds before its deadline
    And a later stage group "y" comes 1.0 seconds before its deadline
    Then stage request "x" is refused as "late"
    And 1 stage calls were made

  Scenario Outline: A load of three urgencies and sixteen teams: <what>
    One team has half of all demand. Without shares, less urgent requests are
    admitted and then overtaken until they are late.
    Given the graded load at "0.8,1.0,1.5,2.5,4.0" times the capacity
    Then at each load <what>

    Examples:
      | what                                                             |
      | the upstreams are used while pieces wait as without shares       |
      | no urgency is served less than a less urgent one by over 5 in 100 |
      | each urgency is served at least a quarter as often as all        |
      | at least 95 in 100 graded refusals come at once                  |
      | at most 2 in 100 stage seconds are of requests refused or late   |
      | the largest tenth is served at least half as often as the others |

  Scenario: A burst of the least urgent does not displace the more urgent
    Given the graded load at 0.9 times the capacity, with 2.5 times the audits
    Then at least 95 in 100 pieces of "call" are served
    And at least 25 in 100 pieces of "audit" are served

  Scenario: A burst of the least urgent does not displace the middle urgency
    Audits that were admitted while nobody was refused wait before the orders
    that come next.
    Given the graded load at 0.9 times the capacity, with 2.5 times the audits
    Then at least 95 in 100 pieces of "order" are served

  Scenario: A large team does not displace the small ones
    One team has half of all demand, and fifteen small ones stay within their
    equal share of the most urgent kind.
    Given the graded load at 1.5 times the capacity
    Then small teams within their share of "call" get at least 95 in 100
    And the large team is served at least a quarter as often as all teams

  Scenario: Small teams get their equal share of a kind that yields
    The kind is refused for the sake of a more urgent one, and with it the small
    teams' groups like those of the large team.
    Given the graded load at 1.5 times the capacity
    Then small teams within their share of "order" get at least 95 in 100

  Scenario: The next owner of a graded queue begins anew
    The owner loses power under load. Its successor knows nothing of what was
    admitted; it must neither refuse for shares at once nor fail.
    Given 6 hosts with graded queues at twice the capacity for 8 seconds
    And the owner of "intake" loses power after 4 seconds
    Then its successor had seen no groups by then
    But it has refused groups for shares since
    And at least 35 in 100 requests of the last 2 seconds have their results
