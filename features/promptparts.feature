Feature: transfer of shared prompt parts between model engines

  Scenario: A request that is sent elsewhere names its home engine once
    The source may be what lets the first attempt fail, so the next attempt must
    not wait for it again.
    Given engines that move prompt parts
    And the home engine is full
    When a request with a prompt is sent
    Then it names the home engine as its source, and the log says why
    When forwarded send 0 is lost
    Then forwarded send 1 names no source

  Scenario Outline: A new home engine fetches from the former one: after <seconds> s
    The parts would be read again at each engine that joins, though the former
    home engine still runs. After 30 s the new one keeps what is in use.
    Given engines that move prompt parts
    When a new engine becomes the home engine and the former one <change>
    And <seconds> s later a request with a prompt is sent
    Then <outcome>

    Examples:
      | change  | seconds | outcome                                     |
      | stays   | 0       | it names the former home engine as its source |
      | leaves  | 29      | it names the former home engine as its source |
      | leaves  | 30      | forwarded send 0 names no source            |
      | is gone | 0       | it names the second engine as its source    |

  Scenario Outline: A source that may not answer is not named: <state>
    The receiving engine would wait for it, and the request with it.
    Given engines that move prompt parts
    And the home engine is full
    And the home engine <state>
    When a request with a prompt is sent
    Then it does not name the home engine as its source

    Examples:
      | state                         |
      | has failed a connection       |
      | backs off                     |
      | is silent                     |
      | sends bytes of no answer      |
      | is reached through peers only |
      | is in a domain that is lost   |
      | has another software version  |

  Scenario Outline: No source is named where a transfer does not pay: <case>
    Given engines that move prompt parts, but <case>
    And the home engine is full
    When a request with a prompt is sent
    Then forwarded send 0 names no source

    Examples:
      | case                         |
      | nothing is configured        |
      | links are slow               |
      | 127 tokens are shared        |
      | the prompt has a single part |

  Scenario: A caller cannot name a source
    Given a forwarding host whose upstream answers "well"
    When a caller names a source of prompt parts
    Then the upstream receives no source

  Scenario: A transfer is cheaper than reading a part again
    A home engine with a few requests would get all requests of its part.
    Given engines that move prompt parts
    And the home engine has 60 requests in flight and 64 slots
    When a request with a prompt is sent
    Then it names the home engine as its source, and the log says why

  Scenario Outline: The operator's figures of engines: <engine>
    Given a platform service with the engine <engine>
    Then its transfer of prompt parts is <transfer>

    Examples:
      | engine                                        | transfer  |
      | {"kv_token_bytes": 1000, "link_mbps": 8000.0} | known     |
      | {"kv_token_bytes": 1000}                      | unknown   |
      | {"kv_token_bytes": -1, "link_mbps": 8000}     | unknown   |
      | null                                          | unknown   |
      | {"kv_token_bytes": 1.5, "link_mbps": 8000}    | malformed |
      | {"kv_token_bytes": 1000, "link_mbps": "fast"} | malformed |

  Scenario: Engines are replaced under load, and one crashes
    Each replaced engine takes its parts along, so that they are read again.
    Given 30 hosts and 70 engines of which 30 are replaced and 1 crashes
    Then with transfers at most half as many tokens are read again as without
    And at most 5 requests in 1000 name a source that has ended
