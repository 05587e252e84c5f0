Feature: placement over HTTP, and in the request path

  Scenario: A placement order over HTTP is taken, then an older one refused
    Given a placement engine that checks fencing, over HTTP
    When placement orders "draft" with fence 7 over HTTP
    Then the placement engine answers over HTTP that it loads "draft"
    When placement orders "tags" with fence 6 over HTTP
    Then the placement engine refuses over HTTP, naming fence 7
    And a placement look over HTTP shows fence 7

  Scenario: A placement engine that does not know orders counts as unseen
    An engine of an older release answers the unknown path with another
    document. Taken for an engine that holds nothing, it would be reloaded.
    Given a placement engine of a release without orders, over HTTP
    Then a placement look over HTTP is lost

  Scenario: A call for a model that the placement engine lacks is not run
    Given a placement engine that checks fencing, over HTTP
    Then a call for "tags" there is answered that placement lacks it, not run

  Scenario Outline: Requests go only where placement says the model is held
    An engine drains a model and will unload it. A call that is sent there all
    the same is refused, and its request loses time on a second attempt.
    Given an entry host over two virtual engines, placement <known>
    When 40 requests of the placement pipeline are sent
    Then all placement requests are answered
    And calls at the placement engines "e1, e2" are <calls>
    And placement counted a demand of 40 calls

    Examples:
      | known                             | calls     |
      | knows that "e2" lacks the model   | some none |
      | knows nothing of engines          | some some |
