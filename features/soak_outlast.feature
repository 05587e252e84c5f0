Feature: live soak: requests that outlast the grace of their host

  Scenario Outline: A request that a stopped host leaves without a status is noticed
    Given a request that ended "<end>" 3.8 s after the SIGTERM of its host
    Then the checks of graces count "<end>" and report <lines> violations

    Examples:
      | end        | lines |
      | whole      | 0     |
      | 503        | 0     |
      | 502        | 0     |
      | 504        | 0     |
      | reset      | 0     |
      | given up   | 0     |
      | unanswered | 1     |

  Scenario Outline: Only what a host had read half a second after SIGTERM counts
    Given a request that ended "unanswered" 3.8 s after the SIGTERM of its host
    When it was sent <sent> s after the SIGTERM
    Then the checks of graces count "<counted>" and report <lines> violations

    Examples:
      | sent | counted    | lines |
      | -3.0 | unanswered | 1     |
      | 0.4  | unanswered | 1     |
      | 0.6  | nothing    | 0     |

  Scenario Outline: A host that takes its own close for its caller's is noticed
    Given a request that ended "<end>" 3.8 s after the SIGTERM of its host
    When its host has logged that its caller left
    Then the checks of graces count "<end>" and report <lines> violations

    Examples:
      | end        | lines |
      | reset      | 1     |
      | given up   | 0     |
      | unanswered | 2     |

  Scenario Outline: A host that breaks off a begun answer early in its grace is noticed
    Given a request that ended "<end>" <seconds> s after the SIGTERM of its host
    Then the checks of the soak count "<lost>" as lost

    Examples: a grace of 4 s
      | end   | seconds | lost    |
      | reset | 2.0     | cut off |
      | reset | 3.2     | cut off |
      | reset | 3.4     | nothing |
      | 502   | 2.0     | nothing |
