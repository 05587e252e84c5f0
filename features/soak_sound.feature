Feature: live soak: requests whose upstreams only stood still

  Scenario Outline: A host that loses such a request is noticed
    Given a request that ended "<end>" after <seconds> s at an upstream that stood still
    When "<fault>" struck "<subject>" meanwhile
    Then the checks of the soak count "<lost>" as lost

    Examples: lost by the host
      | end      | seconds | fault       | subject   | lost    |
      | cut off  | 2.0     | nothing     | nobody    | cut off |
      | 502      | 2.0     | nothing     | nobody    | 502     |
      | 504      | 2.0     | nothing     | nobody    | 504     |
      | cut off  | 2.0     | crash       | engines-2 | cut off |
      | cut off  | 2.0     | stand still | engines-1 | cut off |
      | cut off  | 2.0     | stop        | h1        | cut off |

    Examples: not lost, or not by the host
      | end      | seconds | fault             | subject   | lost    |
      | answered | 2.0     | nothing           | nobody    | nothing |
      | 503      | 2.0     | nothing           | nobody    | nothing |
      | cut off  | 4.9     | nothing           | nobody    | nothing |
      | cut off  | 2.0     | crash             | engines-1 | nothing |
      | cut off  | 2.0     | silent connection | engines-1 | nothing |
      | cut off  | 2.0     | pause             | h1        | nothing |

  Scenario Outline: A host that closes a connection without an answer is noticed
    Guards against requests that are charged to a host whose process is not up.
    Given a request that ended "<end>" after 2 s and reached no upstream
    When its connection was <taken>
    And "<fault>" struck "<subject>" meanwhile
    Then the checks of the answers report "<text>"

    Examples:
      | end | taken                            | fault   | subject | text                                |
      | 0   | taken by the process of its host | nothing | nobody  | cut off without an answer: c1 at h1 |
      | 0   | taken by the process of its host | stop    | h1      | cut off without an answer: c1 at h1 |
      | 0   | taken by the process of its host | reset   | h1      | nothing                             |
      | 0   | taken by no process              | nothing | nobody  | nothing                             |
      | 503 | taken by the process of its host | nothing | nobody  | nothing                             |

  Scenario Outline: A host may close as many new connections as it counts
    Guards against requests that are charged to a host that says it is overloaded.
    Given a request that ended "0" after 2 s and reached no upstream
    When it was <place> on its connection
    And its host closed <closed> new connections from <began> to <ended> s
    Then the checks of the answers report "<text>"

    Examples:
      | place     | closed | began | ended | text                                |
      | the first | 1      | 1.0   | 3.0   | nothing                             |
      | the first | 0      | 1.0   | 3.0   | cut off without an answer: c1 at h1 |
      | the first | 1      | 2.5   | 3.0   | cut off without an answer: c1 at h1 |
      | the first | 1      | 0.5   | 1.5   | cut off without an answer: c1 at h1 |
      | not first | 1      | 1.0   | 3.0   | cut off without an answer: c1 at h1 |

  Scenario: A request whose upstream hangs for good proves nothing
    Given a request that ended "cut off" after 2 s at an upstream that stood still
    When its upstream stands still again and never goes on
    Then the checks of the soak count "nothing" as lost

  Scenario Outline: A request that reached no upstream may have been sent to any
    Given a request that ended "502" after 2 s and reached no upstream
    When "<fault>" struck "<subject>" meanwhile
    Then the checks of the soak count "<lost>" as lost

    Examples: engines-2 is of its service
      | fault   | subject   | lost    |
      | nothing | nobody    | 502     |
      | crash   | lookup-1  | 502     |
      | crash   | engines-2 | nothing |

  Scenario: Refusals while a service only stands still are counted by reason
    Given a request that ended "503" after 2 s at an upstream that stood still
    When "nothing" struck "nobody" meanwhile
    Then the checks of the soak count "busy" as refused

  Scenario Outline: Runs beside each other are noticed once a host can end one
    Given runs of a request from 0 to <first> s and from 1 to 2.5 s
    When the first one's upstream stands still from <still> to <on> s
    Then the checks of the soak count "<wrong>" runs

    Examples: the second goes on at 1 s
      | first | still | on  | wrong   |
      | 1.2   | 0.5   | 0.9 | nothing |
      | 2.0   | 0.5   | 0.9 | beside  |
      | 2.0   | 0.5   | 1.9 | nothing |
      | 2.5   | 0.5   | 1.9 | beside  |

  Scenario: A request at more upstreams than its route allows is noticed
    Given runs of a request from 0 to 0.5 s and from 1 to 2.5 s
    When the request also runs at a third upstream
    Then the checks of the soak count "too many" runs
