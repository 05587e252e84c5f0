Feature: Callers' connections to a forwarding host

  Scenario: A request is forwarded unchanged except for system headers
    A caller sends its key and headers that name a team and an incarnation. If
    they were forwarded, the caller could choose its team, and the upstream
    would learn the key.
    Given a forwarding host whose upstream answers "well"
    When a caller sends "/a/x?" with its own team header
    Then it gets 200 with "well"
    And the upstream received "/a/x?", the team "team-a" and no key

  Scenario: An answer without a body is sent
    An upstream answers with a failure and no body. The head must be sent; a
    host that did not send it left 18 of 1,356 callers waiting.
    Given a forwarding host whose upstream answers 500 without a body
    When a caller sends "/a/x" with its own team header
    Then it gets 500 with ""

  Scenario: An answer that ends with its connection is complete
    Given a forwarding host whose upstream answers "well" without a length
    When a caller sends "/a/x" with its own team header
    Then it gets 200 with "well"

  Scenario: Extra bytes after an answer are dropped
    An upstream sends a second answer after the first one. It must not be used
    as the answer to a later request.
    Given a forwarding host whose upstream answers "well" and a second answer
    When a caller sends two requests on one connection
    Then each gets 200 with "well" and nothing else

  Scenario Outline: Malformed, oversize or incomplete requests
    A smuggled, oversize or malformed request gets an error status, its
    connection is closed, and nothing of it is sent to an upstream.
    Given a forwarding host whose upstream answers "well"
    When a caller sends a request with <fault>
    Then it gets <status> and its connection is closed
    And the upstream received nothing

    Examples:
      | fault                      | status |
      | two lengths                | 400    |
      | a length and chunks        | 400    |
      | a space before a colon     | 400    |
      | a bare line feed           | 400    |
      | headers that are too large | 431    |
      | a body that is too large   | 413    |
      | a head that never ends     | 408    |

  Scenario Outline: A kept connection is held to the limits that are in force: <size>
    Guards against proper requests that are refused on connections from before a change.
    Given a forwarding host whose upstream answers "well"
    And a caller who has had an answer on a connection that it keeps
    When the limits are raised, and it sends a request with <size> there
    Then it gets 200 and its connection stays open

    Examples:
      | size                      |
      | headers of 3000 bytes     |
      | a body of 3000 bytes      |

  Scenario: A kept connection is held to limits that were lowered
    The opposite case: what a newer version does not allow is refused there too.
    Given a forwarding host whose upstream answers "well"
    And a caller who has had an answer on a connection that it keeps
    When the limits are lowered, and it sends a request with a body of 900 bytes there
    Then it gets 413 and its connection is closed

  Scenario Outline: Requests that are not allowed by a route or key
    Given a forwarding host whose upstream answers "well"
    When a caller sends a request with <fault>
    Then it gets <status> and its connection stays open
    And the upstream received nothing

    Examples:
      | fault               | status |
      | an unknown path     | 404    |
      | an unknown key      | 401    |
      | an unverified key   | 503    |
      | no attempt header   | 400    |

  Scenario Outline: A host with an outdated configuration sends no final refusal
    The host could not read the store in time. The route or key may have been
    added or removed meanwhile.
    Given a forwarding host whose upstream answers "well"
    And its configuration may be outdated
    When a caller sends a request with <what>
    Then it gets 503 and its connection stays open
    And the upstream received nothing

    Examples:
      | what            |
      | an unknown path |
      | an unknown key  |
      | a good key      |

  Scenario: A host without a configuration sends no final refusal
    A host has just started. With 404 or 401, callers would not retry a request
    that another host can serve.
    Given a forwarding host without a configuration
    When a caller sends a request with an unknown path
    Then it gets 503 and its connection stays open

  Scenario: A leaving host closes connections and refuses late requests
    Callers keep using open connections. The answer asks them to close theirs;
    a request after the lame-duck time is refused at once.
    Given a forwarding host whose upstream answers "well"
    When the forwarding host leaves
    And a caller sends "/a/x" with its own team header
    Then it gets 200 with "well"
    And its connection is closed
    When the forwarding host refuses new requests
    And a caller sends a request with nothing wrong
    Then it gets 503 and its connection is closed
