Feature: callers' connections to a forwarding host

  Scenario: A request goes on untouched, but for what the system sets
    A caller names a team and an incarnation of its own choice, and its key.
    Passed on, it would choose its team, and the upstream would learn the key.
    Given a forwarding host whose upstream answers "well"
    When a caller sends "/a/x?" with a team of its own
    Then it gets 200 with "well"
    And the upstream saw "/a/x?", the team "team-a" and no key

  Scenario: An answer without a body goes out
    An upstream answers with a failure and no body. The head must go out; a
    host once left 18 of 1,356 callers waiting for it.
    Given a forwarding host whose upstream answers nothing with 500
    When a caller sends "/a/x" with a team of its own
    Then it gets 500 with ""

  Scenario: An answer that ends with its connection is whole
    Given a forwarding host whose upstream answers "well" without a length
    When a caller sends "/a/x" with a team of its own
    Then it gets 200 with "well"

  Scenario: Extra bytes after an answer reach no request
    An upstream sends a second answer after the first one.
    Given a forwarding host whose upstream answers "well" and more
    When a caller sends two requests on one connection
    Then each gets 200 with "well" and nothing besides

  Scenario Outline: Bytes that are no acceptable request
    A smuggled, oversize or malformed request gets a clear answer, its
    connection ends, and no upstream sees any of it.
    Given a forwarding host whose upstream answers "well"
    When a caller sends a request with <fault>
    Then it gets <status> and its connection ends
    And the upstream saw nothing

    Examples:
      | fault                      | status |
      | two lengths                | 400    |
      | a length and chunks        | 400    |
      | a space before a colon     | 400    |
      | a bare line feed           | 400    |
      | headers that are too large | 431    |
      | a body that is too large   | 413    |
      | a head that never ends     | 408    |

  Scenario Outline: Requests that no route or key allows
    Given a forwarding host whose upstream answers "well"
    When a caller sends a request with <fault>
    Then it gets <status> and its connection stays
    And the upstream saw nothing

    Examples:
      | fault               | status |
      | an unknown path     | 404    |
      | an unknown key      | 401    |
      | a key without proof | 503    |
      | no attempt named    | 400    |

  Scenario Outline: A host that was kept from asking the store denies nothing
    The route or key may have been added meanwhile, or taken away.
    Given a forwarding host whose upstream answers "well"
    And its configuration may be an old one
    When a caller sends a request with <what>
    Then it gets 503 and its connection stays
    And the upstream saw nothing

    Examples:
      | what            |
      | an unknown path |
      | an unknown key  |
      | a good key      |

  Scenario: Before any configuration is known nothing is denied
    A host has just started. Answered 404 or 401, callers would give up for
    good what another host serves.
    Given a forwarding host without a configuration
    When a caller sends a request with an unknown path
    Then it gets 503 and its connection stays

  Scenario: A leaving host closes after the answer, and refuses late requests
    Callers keep using open connections. The answer tells them to close; one
    that comes after the lame-duck time is refused at once, truthfully.
    Given a forwarding host whose upstream answers "well"
    When the forwarding host leaves
    And a caller sends "/a/x" with a team of its own
    Then it gets 200 with "well"
    And its connection ends
    When the forwarding host refuses what is new
    And a caller sends a request with nothing wrong
    Then it gets 503 and its connection ends
