Feature: Upstreams that leave and end with their last answer, or within it

  Scenario Outline: The last answer of an upstream that leaves is whole: <path>
    Guards against whole answers without a length that are cut off, as their upstream exits with them.
    When a process that leaves exits with its last answer, read <path>
    Then each kind of its callers gets the whole answer

    Examples:
      | path           |
      | directly       |
      | through a peer |

  Scenario Outline: An answer of an upstream that ends is whole for no caller: <how>
    Guards against a crash that passes for a planned exit, as the upstream was about to leave.
    When a process <how>
    Then no kind of its callers gets an answer that is complete

    Examples:
      | how                                                                    |
      | that leaves is killed within an answer, and its entry stays            |
      | that leaves is killed within an answer, and its entry lapses           |
      | that leaves is killed within an answer before its time                 |
      | that leaves is killed within an answer beside a disturbance            |
      | that leaves is killed within an answer that is read through a peer     |
      | that says nothing is killed within an answer, and its entry is removed |

  Scenario: Two answers of an upstream that leaves break at the same moment
    Guards against a crash whose entry is removed at once, while two answers break with it.
    When a process that leaves is killed within two answers, and its entry is removed
    Then neither of them is complete

  Scenario Outline: A planned exit is proved by all of its signs: <sign>
    Guards against an end that is taken on trust where one of the signs is missing.
    Given an upstream that has said for 3 seconds that it leaves
    When it closes its last connection, and <sign>
    Then it counts as <judged>

    Examples:
      | sign                                          | judged    |
      | its entry is removed 0.3 seconds later        | left      |
      | its entry was removed 0.2 seconds before      | left      |
      | its entry was removed 2 seconds before        | not left  |
      | its entry is removed 2.4 seconds later        | not left  |
      | its entry stays                               | not left  |
      | the store has failed 3 seconds before         | not left  |
      | its entry says so since the close only        | not left  |
      | it should serve for 10 more seconds           | not left  |
      | its entry is that of another identifier       | not left  |
