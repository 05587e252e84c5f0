Feature: claims in random scenarios

  Scenario: Random claims scenarios never run a key twice within its window
    Hosts that run the real code crash, are paused, and are cut off from the
    store and from each other. The store loses answers, applies writes late, is
    slow or down. The service refuses or freezes. Callers repeat their keys at
    any host.
    Then no key of 60 random claims scenarios ran twice within its window
    And the random claims scenarios had every outcome at least 20 times

  Scenario Outline: Random claims scenarios show that <guard> is needed
    The same scenarios with one guard disabled. If none failed, the scenarios
    would not cover the fault that the guard prevents.
    Then a random claims scenario from seed <seed> on fails without "<guard>"

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
