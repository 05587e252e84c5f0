Feature: values of other writers that decoders reject

  Scenario Outline: An odd value hides no sound entry: <form>
    Guards against one value that makes hosts miss all entries beside it, or ends what reads them.
    Given a page and a watch of the registry in which an entry holds <form>
    Then both report the two sound upstreams
    And each odd entry names itself, and is no upstream
    And a follower is told of the sound upstreams as well

    Examples:
      | form                              |
      | a number out of range             |
      | a negative number out of range    |
      | a number of 5,000 digits          |
      | a number of 400 digits            |
      | a control character               |
      | a byte that is no UTF-8           |
      | half a surrogate pair             |
      | an escape that is none            |
      | NaN                               |
      | a number with a zero in front     |
      | a word                            |
      | nothing                           |
      | brackets that do not match        |
      | a map whose key is a number       |
      | 50 lists in lists                 |
      | 900 lists in lists                |
      | 1,100 lists in lists              |
      | 1,100 maps in maps                |
      | 400,000 lists in lists            |
      | a control character in deep lists |
      | brackets in texts of deep lists   |
      | a text of 900,000 bytes           |

  Scenario Outline: An entry with a field that can't be read names no upstream: <field>
    Guards against an entry of which the rest is used, with a mark in place of the field.
    Given a page of the registry in which another writer's <field> is each odd value
    Then no entry of that writer is an upstream but those with a sound text

    Examples:
      | field   |
      | service |
      | zone    |
      | version |
      | state   |

  Scenario: A configuration whose keys can't be read opens no route
    Guards against a number out of range that reads as "no keys are needed".
    Given a host whose configuration is in force
    When a configuration is written whose tenants are out of range
    Then the first one stays in force

  Scenario: A configuration that can't be read leaves the one in force
    Guards against odd configurations that end the reads of later ones.
    Given a host whose configuration is in force
    When each odd value is written as its configuration, and then a sound one
    Then the sound one is in force within 2 seconds

  Scenario Outline: A number that no upstream has makes no upstream: <number>
    Guards against numbers that overflow in the requests of all callers.
    Given a registry entry of another writer with <number>
    Then it is no upstream

    Examples:
      | number                    |
      | slots of 400 digits       |
      | a start of 30 digits      |
      | a cold time without end   |
      | a port above 65535        |
      | an address above 255      |

  Scenario Outline: An answer that is nested too deeply is malformed: <reader>
    Guards against answers that end what reads them by an error nobody foresaw.
    When <reader> is nested 1,100 levels deep
    Then it is read as one that is malformed

    Examples:
      | reader                       |
      | a batch of results           |
      | a plain batch of results     |
      | a report                     |
      | a list of hosts              |
      | a reply of a service         |

  Scenario: An odd value in the object API hides no sound one
    Guards against one value of the project's own store that makes a list unreadable.
    Given a list of the object API in which a value is nested 1,100 times
    Then the other value is listed
