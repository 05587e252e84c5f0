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
      | end | taken                            | fault   | subject   | text                                |
      | 0   | taken by the process of its host | nothing | nobody    | cut off without an answer: c1 at h1 |
      | 0   | taken by the process of its host | stop    | h1        | cut off without an answer: c1 at h1 |
      | 0   | taken by the process of its host | reset   | h1        | nothing                             |
      | 0   | taken by no process              | nothing | nobody    | nothing                             |
      | 503 | taken by the process of its host | nothing | nobody    | nothing                             |
      | 0   | taken by the process of its host | crash   | engines-1 | cut off without an answer: c1 at h1 |

  Scenario Outline: A begun answer that its upstream breaks off may not reach its caller
    The reset overtakes the head; the host owes an answer where no upstream has broken it off.
    Given a request that ended "0" after 2 s at an upstream that stood still
    When "<fault>" struck "<subject>" meanwhile
    Then the checks of the answers report "<text>"

    Examples: it had begun to answer at engines-1
      | fault   | subject   | text                                |
      | crash   | engines-1 | nothing                             |
      | crash   | engines-2 | cut off without an answer: c1 at h1 |
      | nothing | nobody    | cut off without an answer: c1 at h1 |

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

  Scenario Outline: A cold engine that gets more than it may is noticed: <count> when <event>
    Hosts with different lists of hosts may claim one share twice; what an engine bears holds even then.
    Given <count> requests that reached a cold engine
    When <event> before that
    Then the checks of the answers report "<text>"

    Examples: at 6 a second, and 14 borne
      | count | event                                  | text                                     |
      | 6     | nothing happened                       | nothing                                  |
      | 7     | nothing happened                       | 7 requests reached engines-1 while cold  |
      | 7     | another upstream crashed 0.5 s         | 7 requests reached engines-1 while cold  |
      | 7     | a configuration was written 0.5 s      | 7 requests reached engines-1 while cold  |
      | 7     | a host became ready 3.5 s              | 7 requests reached engines-1 while cold  |
      | 7     | a host became ready 2.5 s              | nothing                                  |
      | 14    | a host became ready 2.5 s              | nothing                                  |
      | 15    | a host became ready 2.5 s              | 15 requests reached engines-1 while cold |
      | 14    | the store was cut off 2.5 s            | nothing                                  |
      | 15    | the store was cut off 2.5 s            | 15 requests reached engines-1 while cold |

  Scenario Outline: A host that closes more than it says as it is overloaded is noticed: <count>, <closed> <when>
    An overloaded host closes new connections before it reads their requests; their callers try others.
    Given <count> requests without an answer on <connections> connections
    When their host was overloaded <when>, and says that it closed <closed>
    Then the checks of the answers report "<text>"

    Examples:
      | count | connections | closed | when      | text                                                                            |
      | 2     | new         | 2      | meanwhile | nothing                                                                         |
      | 2     | new         | 3      | meanwhile | nothing                                                                         |
      | 2     | new         | 1      | meanwhile | cut off without an answer: c0 at h1 cut off without an answer: c1 at h1         |
      | 1     | new         | 1      | later     | cut off without an answer: c0 at h1                                             |
      | 1     | kept        | 1      | meanwhile | cut off without an answer: c0 at h1                                             |

  Scenario: Connections that were closed in an earlier overload excuse none in a later one
    Given 1 requests without an answer on new connections
    When their host closed 2 in one overload and 0 meanwhile
    Then the checks of the answers report "cut off without an answer: c0 at h1"

  Scenario Outline: A caller sends nothing on a connection that closes: <fields>
    Guards against requests that count as cut off, as their caller's own connection was closing.
    Given a caller of a live soak that has an answer with "<fields>"
    Then the connection of the caller <state>

    Examples:
      | fields            | state              |
      | Connection: close | is closing         |
      | X-Proof: p        | can be used again  |
