Feature: claims in random stories

  Scenario: Random claims stories never run a key twice within its window
    Hosts of the real code die, are paused, cut off from the store and from
    each other; the store loses answers, applies writes late, is slow or down;
    the service refuses or freezes; callers repeat their keys at any host.
    Then no key of 60 random claims stories ran twice within its window
    And the random claims stories had every outcome at least 20 times

  Scenario Outline: Random claims stories show that <guard> is needed
    The same stories with one guard taken away. Were it never missed, the
    stories would not be looking where it matters.
    Then a random claims story from seed <seed> on fails without "<guard>"

    Examples:
      | seed | guard                                  |
      | 0    | the read-back of an append in doubt    |
      | 0    | settling a number before the next      |
      | 0    | the read of the log before an append   |
      | 0    | create-if-absent                       |
      | 15   | the bound on a known end               |
      | 0    | the claim before the dispatch          |
      | 0    | keeping the key of an unknown outcome  |
      | 18   | leaving the claims of others alone     |
      | 0    | keeping the newest segment             |
      | 0    | keeping segments for the window        |
