Feature: placement orders bring engines to the wanted models

  Scenario: Empty placement engines load every model
    Given placement engines "e1, e2, e3" for models "draft, tags"
    And a placement host "a" that holds the lease
    When 40 placement seconds pass
    Then the placement engines hold "draft:1, draft:1, tags:1" in some order
    And new work for "draft" goes only to placement engines that hold it

  Scenario: Placement follows demand that shifts between two models
    Demand shifts from drafting in the morning to tagging at noon. Without
    a new placement, tagging would queue at one engine while three are idle.
    During the change each model must always be held by an engine.
    Given placement engines "e1, e2, e3, e4" for models "draft, tags"
    And a placement host "a" that holds the lease
    And placement demand of "draft" at 9 and "tags" at 1
    When 60 placement seconds pass
    Then 3 placement engines hold "draft"
    When placement demand turns to "draft" at 1 and "tags" at 9
    And 120 placement seconds pass, in which "draft" and "tags" are always held
    Then 3 placement engines hold "tags"
    And 2 placement engines got no new work before their swap

  Scenario: A placement swap waits for calls in flight, but not indefinitely
    A swap begins while the engine still streams an answer. If the model were
    unloaded at once, the stream would break and be attempted again.
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    And placement engine "e1" holds "draft" and has 2 calls in flight
    When the placement manifest changes to version "2"
    And 6 placement seconds pass
    Then placement engine "e1" holds "draft:1" and gets no new work
    When the calls at placement engine "e1" end
    And 10 placement seconds pass
    Then placement engine "e1" holds "draft:2" and gets new work

  Scenario: A placement swap proceeds when calls exceed the drain limit
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    And placement engine "e1" holds "draft" and has 1 calls in flight
    When the placement manifest changes to version "2"
    And 25 placement seconds pass
    Then placement engine "e1" holds "draft:2" and gets new work
    And placement host "a" logged "placement-drain-over"

  Scenario: Adapters are added to a model that placement keeps loaded
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    And placement engine "e1" holds "draft" and has 2 calls in flight
    When the placement manifest adds the adapter "lakes" to "draft"
    And 10 placement seconds pass
    Then placement engine "e1" holds the adapter "lakes" of "draft"
    And placement host "a" did not log "placement-drain"
    And the placement weight store gave 1 tickets

  Scenario: While the weight store refuses, placement engines keep their models
    A new version is rolled out while the weight store refuses all loads. An
    engine that was drained or unloaded first would serve nothing until then.
    Given placement engines "e1, e2" for models "draft"
    And a placement host "a" that holds the lease
    And every placement engine holds "draft"
    And the placement weight store refuses all loads
    When the placement manifest changes to version "2"
    And 60 placement seconds pass
    Then the placement engines hold "draft:1, draft:1" in some order
    And new work for "draft" goes to 2 placement engines
    And placement host "a" asked the weight store 1 times
    When the placement weight store allows 1 load a second
    And 60 placement seconds pass
    Then the placement engines hold "draft:2, draft:2" in some order

  Scenario: Placement loads respect the weight store's rate limit
    All engines of a domain restart at once and need the same weights.
    Simultaneous requests would use up the rate limit of the other domains.
    Given placement engines "e1, e2, e3, e4, e5, e6" for models "draft"
    And a placement host "a" that holds the lease
    When 60 placement seconds pass
    Then 6 placement engines hold "draft"
    And at most 2 placement engines loaded at the same time
    And the placement weight store gave 6 tickets

  Scenario: Placement engines that die during a load do not block others
    Two engines, the limit of simultaneous loads, die while they load. If
    their tickets still counted, no engine of the domain could load again.
    Given placement engines "e1, e2, e3, e4" for models "draft"
    And a placement host "a" that holds the lease
    When the first 2 placement engines die while they load
    And 60 placement seconds pass
    Then 2 reachable placement engines hold "draft"

  Scenario: A placement rollout keeps most engines in service
    A new version is rolled out to all engines. If all were drained at once,
    all calls would be refused until the first load is complete.
    Given placement engines "e1, e2, e3, e4" for models "draft"
    And a placement host "a" that holds the lease
    And every placement engine holds "draft"
    When the placement manifest changes to version "2"
    And 120 placement seconds pass, in which 3 engines hold "draft"
    Then placement engine "e4" holds "draft:2" and gets new work

  Scenario: A placement that covers the demand is not changed
    The models are held by other engines than a plan for empty engines would
    choose. Each unnecessary swap costs a load.
    Given placement engines "e1, e2, e3" for models "draft, tags"
    And placement engine "e1" holds "tags"
    And placement engine "e2" holds "draft"
    And placement engine "e3" holds "draft"
    And a placement host "a" that holds the lease
    When 40 placement seconds pass
    Then no placement engine was loaded

  Scenario: A placement engine that restarts during a load is loaded again
    The engine dies during a load and restarts empty at the same address. If
    the old load still counted, the engine would never load again, and calls
    for its only model would be refused until an operator intervened.
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    When placement engine "e1" loads, and restarts
    And 10 placement seconds pass
    Then placement engine "e1" holds "draft:1" and gets new work
    And placement host "a" logged "engine-restarted"

  Scenario: A lost answer to a placement order is resolved by a state read
    The engine accepts the order but the answer is lost. If orders stated
    changes, the second one would load the model twice for a second ticket.
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
    When the next 2 placement orders are lost in the network
    And 20 placement seconds pass
    Then placement engine "e1" holds "draft:1" and gets new work
    And placement host "a" logged "order-lost"

  Scenario: Without the store no placement orders are sent and work continues
    The object API is down while a new version arrives from a peer. No host
    can verify that it is the only holder, so the engines keep their models.
    Work is routed as before.
    Given placement engines "e1, e2" for models "draft"
    And a placement host "a" that holds the lease
    And every placement engine holds "draft"
    When the placement store goes down
    And the placement manifest changes to version "2"
    And 90 placement seconds pass
    Then the placement engines hold "draft:1, draft:1" in some order
    And new work for "draft" goes to 2 placement engines
    When the placement store is up again
    And 90 placement seconds pass
    Then the placement engines hold "draft:2, draft:2" in some order

  Scenario: A placement engine that is unreachable is left out of the plan
    Given placement engines "e1, e2, e3" for models "draft, tags"
    And a placement host "a" that holds the lease
    And placement demand of "draft" at 1 and "tags" at 9
    When 40 placement seconds pass
    And the placement engine that holds "draft" can't be reached
    And 60 placement seconds pass
    Then 1 reachable placement engines hold "draft"

  Scenario: A placement engine that is leaving is left out of the plan
    The only engine of a model is to be replaced and gets no new work. Unless
    another engine loads the model, its callers are refused.
    Given placement engines "e1, e2, e3" for models "draft, tags"
    And a placement host "a" that holds the lease
    And placement demand of "draft" at 1 and "tags" at 9
    When 40 placement seconds pass
    And the placement engine that holds "draft" is leaving
    And 60 placement seconds pass
    Then 2 placement engines hold "draft"
    And the leaving placement engine got no order

  Scenario: A placement engine that refuses is not sent an order again at once
    The engine has less memory than declared and refuses every order. An order
    in each round would cost a useless write to the store every second.
    Given placement engines "e1" for models "draft"
    And a placement host "a" that holds the lease
    And placement engine "e1" has no memory
    When 60 placement seconds pass
    Then placement engine "e1" refused from 5 to 7 orders

  Scenario: The state of settled placement engines is read less often
    Given placement engines "e1, e2" for models "draft"
    And a placement host "a" that holds the lease
    When 40 placement seconds pass
    And the placement state reads are counted for 60 seconds
    Then from 10 to 14 placement state reads were counted
    When placement engine "e1" restarts
    And 25 placement seconds pass
    Then placement engine "e1" holds "draft:1" and gets new work
