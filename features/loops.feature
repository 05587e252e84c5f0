Feature: loops that a host lives by

  Scenario Outline: A loop that meets an error goes on: <loop>
    Guards against a loop that ends for good with an error nobody foresaw, while its host goes on with what it knew.
    Given a running host in which <loop> will meet errors
    When errors are met there twice
    Then a line names the loop each time, and it goes on
    And the host is ready and follows changes

    Examples:
      | loop                         |
      | the watch of upstreams       |
      | the watch of hosts           |
      | the watch of drained domains |
      | the watch of quarantine      |
      | reads of the configuration   |
      | the looks at links           |
      | the periodic review          |

  Scenario Outline: A host that starts beside an error gets ready: <loop>
    Guards against hosts that never serve because one step of their start has met an error.
    Given a starting host in which <loop> will meet errors
    When errors are met there twice
    Then a line names the loop each time, and it goes on
    And the host is ready and follows changes
    And the host is registered

    Examples:
      | loop                            |
      | the list of upstreams           |
      | the list of hosts               |
      | full reads of the configuration |
      | the key of peers                |
      | the ports of peers              |
      | the registration                |
      | the records of versions         |
      | the dials of peers              |

  Scenario: An entry of the key of peers that another writer has spoiled
    Guards against hosts that never join because of one entry.
    Given a starting host whose key of peers is a list
    When 5 seconds pass at the host
    Then the host is ready and follows changes
    And the host is registered

  Scenario: A part that a peer waits for is refused if it can't be sent
    Guards against followers that wait for an answer which an error has ended.
    Given a host that other hosts follow
    When an update for a waiting follower can't be encoded
    Then the follower is refused, and the next one is answered

  Scenario: An error that only the event loop catches has a line
    Guards against errors whose tracebacks no metric counts.
    Given a program that reports stray errors
    When a step that nobody awaits fails
    Then a line "stray-error" has its place

  Scenario: A program that can't start ends
    Guards against a process that stays, and is never ready, as another one has its port.
    When a program is run whose start fails
    Then it ends with an exit code and a line "start-failed"

  Scenario: Tokens of a limited upstream are asked for again after an error
    Guards against requests that wait for tokens until their deadline, as a grant has met an error.
    Given a stage queue whose upstream states 5 requests a second
    When the first two grants meet errors, and 10 pieces wait for 10 seconds
    Then each piece is called for
