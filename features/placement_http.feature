Feature: placement over HTTP, and in the request path

  Scenario: A placement order over HTTP is accepted, an older one is refused
    Given a placement engine that checks fencing, over HTTP
    When placement orders "draft" with fence 7 over HTTP
    Then the placement engine answers over HTTP that it loads "draft"
    When placement orders "tags" with fence 6 over HTTP
    Then the placement engine refuses over HTTP with fence 7
    And a placement state read over HTTP shows fence 7

  Scenario: A placement engine that lacks the order interface counts as unseen
    An engine of an older release answers the unknown path with another
    document. If that were read as an empty state, it would be reloaded.
    Given a placement engine of a release that lacks orders, over HTTP
    Then a placement state read over HTTP is lost

  Scenario: A call for a model that the placement engine lacks is not run
    Given a placement engine that checks fencing, over HTTP
    Then a call for "tags" there is refused as not run

  Scenario Outline: Requests go only to engines that serve the model by placement
    An engine drains a model before unloading it. A call that is still sent to
    it is refused, and the request loses time on a second attempt.
    Given an entry host over two virtual engines, placement <known>
    When 40 requests of the placement pipeline are sent
    Then all placement requests are answered
    And calls at the placement engines "e1, e2" are <calls>
    And placement counted a demand of 40 calls

    Examples:
      | known                           | calls     |
      | knows that "e2" lacks the model | some none |
      | has no records                  | some some |
