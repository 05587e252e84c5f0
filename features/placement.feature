Feature: placement orders: engines come to hold what is wanted

  Scenario: Empty placement engines come to hold every model
    Given placement engines "e1, e2, e3" for models "draft, tags"
    And a placement host "a" that holds the lease
    When 40 placement seconds pass
    Then the placement engines hold "draft:1, draft:1, tags:1" in some order
    And new work for "draft" goes only to placement engines that hold it

  Scenario: Placement follows demand that shifts between two models
    In the morning tickets are drafted, at noon urgency is tagged. With the
    engines as in the morning, tagging would queue at one engine while three
    stand idle. No model may be without an engine on the way.
    Given placement engines "e1, e2, e3, e4" for models "draft, tags"
    And a placement host "a" that holds the lease
    And placement demand of "draft" at 9 and "tags" at 1
    When 60 placement seconds pass
    Then 3 placement engines hold "draft"
    When placement demand turns to "draft" at 1 and "tags" at 9
    And 120 placement seconds pass, in which "draft" and "tags" are always held
    Then 3 placement engines hold "tags"
    And 2 placement engines got no new work before their swap

  Scenario: A placement swap waits for calls in flight, but not for ever
    A swap begins while the engine still streams an answer. Unloaded at once,
    the stream would break and its caller would wait for a second try.
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    And placement engine "e1" holds "draft" and has 2 calls in flight
    When the placement manifest goes to version "2"
    And 6 placement seconds pass
    Then placement engine "e1" holds "draft:1" and gets no new work
    When the calls at placement engine "e1" end
    And 10 placement seconds pass
    Then placement engine "e1" holds "draft:2" and gets new work

  Scenario: A placement swap goes on when calls hang past the bound
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    And placement engine "e1" holds "draft" and has 1 calls in flight
    When the placement manifest goes to version "2"
    And 25 placement seconds pass
    Then placement engine "e1" holds "draft:2" and gets new work
    And placement host "a" logged "placement-drain-over"

  Scenario: Adapters are loaded beside a model that placement keeps
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    And placement engine "e1" holds "draft" and has 2 calls in flight
    When the placement manifest adds the adapter "lakes" to "draft"
    And 10 placement seconds pass
    Then placement engine "e1" holds the adapter "lakes" of "draft"
    And placement host "a" did not log "placement-drain"
    And the placement weight store gave 1 tickets

  Scenario: While the weight store refuses, placement engines keep what they have
    A new version is rolled out, and the weight store refuses all loads. An
    engine that was drained or unloaded first would serve nothing meanwhile.
    Given placement engines "e1, e2" for models "draft"
    And a placement host "a" that holds the lease
    And every placement engine holds "draft"
    And the placement weight store refuses
    When the placement manifest goes to version "2"
    And 60 placement seconds pass
    Then the placement engines hold "draft:1, draft:1" in some order
    And new work for "draft" goes to 2 placement engines
    And placement host "a" asked the weight store 1 times
    When the placement weight store allows 1 load a second
    And 60 placement seconds pass
    Then the placement engines hold "draft:2, draft:2" in some order

  Scenario: Placement loads are spread over the weight store's rate
    All engines of a domain restart at once and want the same weights. Asked
    for together they would take the whole rate from the other domains.
    Given placement engines "e1, e2, e3, e4, e5, e6" for models "draft"
    And a placement host "a" that holds the lease
    When 60 placement seconds pass
    Then 6 placement engines hold "draft"
    And at most 2 placement engines ever loaded at one time
    And the placement weight store gave 6 tickets

  Scenario: Placement engines that die while they load hold nobody back
    Two engines load, as many as may at one time, and die. If their tickets
    still counted, no other engine of the domain could ever load.
    Given placement engines "e1, e2, e3, e4" for models "draft"
    And a placement host "a" that holds the lease
    When the first 2 placement engines die while they load
    And 60 placement seconds pass
    Then 2 reachable placement engines hold "draft"

  Scenario: A placement rollout leaves most engines at work
    A new version goes to all engines. Were all drained at one time, every
    caller would be refused until the first load is done.
    Given placement engines "e1, e2, e3, e4" for models "draft"
    And a placement host "a" that holds the lease
    And every placement engine holds "draft"
    When the placement manifest goes to version "2"
    And 120 placement seconds pass, in which 3 engines hold "draft"
    Then placement engine "e4" holds "draft:2" and gets new work

  Scenario: A placement that covers the demand is left alone
    The engines hold what is wanted, but another one each than a plan from
    nothing would choose. Each needless swap costs a load.
    Given placement engines "e1, e2, e3" for models "draft, tags"
    And placement engine "e1" holds "tags"
    And placement engine "e2" holds "draft"
    And placement engine "e3" holds "draft"
    And a placement host "a" that holds the lease
    When 40 placement seconds pass
    Then no placement engine was loaded

  Scenario: A placement engine that restarts in mid-load is loaded anew
    The engine dies while it loads. It comes back empty, at the same address.
    If the old load still counted, nothing would ever be loaded there, and
    callers of its only model would be refused until someone looked.
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    When placement engine "e1" loads, and restarts
    And 10 placement seconds pass
    Then placement engine "e1" holds "draft:1" and gets new work
    And placement host "a" logged "engine-restarted"

  Scenario: The lost answer of a placement order is settled by reading back
    The engine takes the order, the answer is lost. Sent as a change, a second
    order would load the model twice, and cost a second ticket.
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    When the answers of the next 1 placement orders are lost
    And 20 placement seconds pass
    Then placement engine "e1" holds "draft:1" and gets new work
    And placement engine "e1" began 1 loads
    And the placement weight store gave 1 tickets

  Scenario: A lost placement order is sent again
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    When the next 2 placement orders are lost on their way
    And 20 placement seconds pass
    Then placement engine "e1" holds "draft:1" and gets new work
    And placement host "a" logged "order-lost"

  Scenario: Without the store no placement orders go out and work goes on
    The object API is down while a new version is in force from a peer. No
    holder can be sure to be the only one, so the engines keep what they have.
    Work goes where it went before.
    Given placement engines "e1, e2" for models "draft"
    And a placement host "a" that holds the lease
    And every placement engine holds "draft"
    When the placement store goes down
    And the placement manifest goes to version "2"
    And 90 placement seconds pass
    Then the placement engines hold "draft:1, draft:1" in some order
    And new work for "draft" goes to 2 placement engines
    When the placement store comes back
    And 90 placement seconds pass
    Then the placement engines hold "draft:2, draft:2" in some order

  Scenario: A placement engine that is gone is planned without
    Given placement engines "e1, e2, e3" for models "draft, tags"
    And a placement host "a" that holds the lease
    And placement demand of "draft" at 1 and "tags" at 9
    When 40 placement seconds pass
    And the placement engine that holds "draft" can't be reached
    And 60 placement seconds pass
    Then 1 reachable placement engines hold "draft"

  Scenario: A placement engine that is leaving is planned without
    The engine is to be replaced and takes no new work. It is the only one of
    its model: unless another one loads it, callers are refused.
    Given placement engines "e1, e2, e3" for models "draft, tags"
    And a placement host "a" that holds the lease
    And placement demand of "draft" at 1 and "tags" at 9
    When 40 placement seconds pass
    And the placement engine that holds "draft" is leaving
    And 60 placement seconds pass
    Then 2 placement engines hold "draft"
    And the leaving placement engine got no order

  Scenario: A placement engine that refuses is not asked again at once
    The engine has less memory than is declared and refuses every order. Asked
    in each round it would cost a write of the store a second, for nothing.
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    And placement engine "e1" has no memory
    When 60 placement seconds pass
    Then placement engine "e1" refused from 5 to 7 orders

  Scenario: Placement engines that have settled are looked at less often
    Given placement engines "e1, e2" for models "draft"
    And a placement host "a" that holds the lease
    When 40 placement seconds pass
    And the placement looks are counted for 60 seconds
    Then from 10 to 14 placement looks were counted
    When placement engine "e1" restarts
    And 25 placement seconds pass
    Then placement engine "e1" holds "draft:1" and gets new work
