Feature: versions of objects over returns of the store from an older copy

  Background:
    Given a store that states its era, and a client of it

  Scenario: A revision that is given out again is a newer version
    When the store returns to before its last 3 writes, and is written once
    Then the version of the written object is higher than all before

  Scenario: A watch from a revision of the copy misses no change
    Revisions have passed the one of the watch before its next call.
    When a watch is to go on, and the store returns to before its last 2 writes, and is written 4 times
    Then the watch has to list again

  Scenario: A write on the condition of a version that was given out again changes nothing
    When the store returns, and gives a read version to another content
    And the client has heard of it
    Then its write on that version is refused without a call

  Scenario: A write that has hit another content is no success
    When the store returns, and gives a read version to another content
    Then the client's write on that version ends in conflict

  Scenario: An answer that is late from before a return is ignored
    When the client hears of the return before a read and a write of the earlier era are answered
    Then the read is unavailable and the write is in doubt

  Scenario: A list whose pages are of two eras is not taken
    When the store returns between two pages of a list
    Then the list is unavailable

  Scenario Outline: A header that is <header> changes nothing
    When an answer states the era "<text>"
    Then the known era is 1

    Examples:
      | header  | text                 |
      | missing |                      |
      | garbled | one                  |
      | split   | 1, 2                 |
      | huge    | 99999999999999999999 |
      | lower   | 0                    |
      | signed  | -3                   |

  Scenario: Eras that rise twice before a client hears of them
    When the store returns twice to before its last 2 writes, and is written once
    Then the version of the written object is higher than all before

  Scenario: A put in doubt over a return is settled by its mark
    Given the client's next put is applied without an answer
    When the client puts, and the store returns to before it
    Then the put is superseded, and never said to be written
