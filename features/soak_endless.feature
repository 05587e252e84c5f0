Feature: live soak: upstreams that send bytes without end

  Scenario Outline: A host that reads such an answer past the deadline is noticed
    Given requests "c1" that ended "504" with an endless "head" answer
    When the host has read the answer for <seconds> s
    Then the checks of endless bytes report "<text>"

    Examples: a deadline of 5 s
      | seconds | text                                                |
      | 5.2     | nothing                                             |
      | 8.2     | read endless head for 8.20 s: c1 at engines-1 |

  Scenario Outline: A host that never ends to read such an answer is noticed
    Guards against a host that goes unnoticed as it reads until the run ends.
    Given requests "c1" that ended "504" with an endless "head" answer
    When the host reads on when the run ends, after <seconds> s
    Then the checks of endless bytes report "<text>"

    Examples: a deadline of 5 s
      | seconds | text                                          |
      | 5.2     | nothing                                       |
      | 30      | read endless head for 30.00 s: c1 at engines-1 |

  Scenario: The end of a silent connection is not charged to its host
    The opposite case: a silent link tells no upstream that the host has closed.
    Given requests "c1" that ended "504" with an endless "head" answer
    When the host has read the answer for 5 s
    And the upstream is told of it only after 80 s
    Then the checks of endless bytes report "nothing"

  Scenario Outline: Requests that stay with the only such upstream are noticed
    Given requests "<idents>" that ended "504" with an endless "event" answer
    When <elsewhere> of them were also sent to another upstream
    Then the checks of endless bytes report "<text>"

    Examples:
      | idents      | elsewhere | text                                                       |
      | c1 c2       | 0         | nothing                                                    |
      | c1 c2 c3 c4 | 0         | 0 of 4 requests at one of the engines were sent elsewhere |
      | c1 c2 c3 c4 | 1         | nothing                                                    |

  Scenario Outline: Requests that can go nowhere else prove nothing
    Given requests "c1 c2 c3 c4" that ended "<end>" with an endless "event" answer
    When <changed>
    Then the checks of endless bytes report "nothing"

    Examples:
      | end     | changed                                     |
      | cut off | nothing else happens                        |
      | 504     | their route allows one attempt              |
      | 504     | all upstreams of the service send so        |

  Scenario Outline: A host that uses too much memory is noticed
    Given requests "c1" that ended "504" with an endless "event" answer
    When the peak memory of host "h1" is <peak> MB
    Then the checks of endless bytes report "<text>"

    Examples:
      | peak | text           |
      | 290  | nothing        |
      | 310  | h1 used 310 MB |

  Scenario Outline: Only what the upstream sent may reach the caller, as incomplete
    Given a lookup that got <answers> answers in one, <end>, with <other> at the end
    Then the checks of answers report <lines> violations

    Examples: its upstream repeats the answer without end
      | answers | end      | other   | lines |
      | 3       | cut off  | nothing | 0     |
      | 3       | complete | nothing | 1     |
      | 1       | complete | nothing | 0     |
      | 3       | cut off  | others  | 1     |
