Feature: many hosts start at the same time

  Scenario Outline: A host indexes the upstreams of a list once: <upstreams>
    Guards against starts whose work grows with the square of the fleet.
    Given a store with <upstreams> upstreams and <hosts> registered hosts
    When a host starts there
    Then it knows them all
    And the parts of the host are told of changes of upstreams at most 4 times
    And the parts of the host are told of changes of hosts at most 6 times

    Examples:
      | upstreams | hosts |
      | 20        | 5     |
      | 950       | 340   |

  Scenario Outline: A host that has just started leaves a queue to its owner: <link>
    Guards against many hosts that call the servers of a stage for themselves while they link.
    Given a host that has started before it is linked to the owner of a stage queue
    When it gets a piece, and its <link>
    Then the piece is queued <place>

    Examples:
      | link                              | place                     |
      | link opens after 0.4 seconds      | at the owner              |
      | link never opens                  | there after 1.0 seconds   |
      | dials are refused                 | there within 0.9 seconds  |
      | peers are known after 0.6 seconds | at the owner              |

  Scenario: A host alone has a queue of its own at once
    The opposite case: nobody waits for an owner where there is none.
    Given a host that has started alone
    When it gets a piece
    Then the piece is queued there at once

  Scenario: Hosts that come back at the same time find each other soon
    Guards against dials whose pauses grow while the others have not started.
    Given 30 hosts that all end, and come back spread over 6 seconds
    Then each is linked to the owner of each queue 2 seconds after the last is back

  Scenario Outline: A program imports nothing that a host does not use: <program>
    Guards against starts that spend processor time on other programs' modules.
    When <program> is imported in a new process
    Then it has imported at most <most> modules of libraries
    And it has imported none of these packages
      | package              |
      | twisted.web.server   |
      | hyperlink            |
      | pollenstile.bench    |
      | pollenstile.soak     |
      | pollenstile.standin  |
      | pollenstile.manifest |
      | pollenstile.fleet    |
      | pollenstile.placement |
      | pydantic             |
      | statsd               |

    Examples:
      | program               | most |
      | the entry program     | 426  |
      | the command of a host | 426  |
