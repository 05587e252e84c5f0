Feature: the list of known failures

  Scenario Outline: Only the listed scenario is a known failure: <entry>
    A failure of another scenario must fail the run.
    Given a feature with a scenario "One" at line 3 and "Two" at line 32
    And an entry for "<listed>" at line <entry>
    When the scenario "<name>" at line <line> fails
    Then that failure is <known>

    Examples:
      | listed | entry | name | line | known     |
      | Two    | 32    | Two  | 32   | known     |
      | Two    | 32    | One  | 3    | not known |
      | One    | 32    | Two  | 32   | not known |

  Scenario Outline: An entry that names no failure is reported: <listed> at <entry>
    A test that has been mended, or whose line has moved, stays listed unnoticed.
    Given a feature with a scenario "One" at line 3 and "Two" at line 32
    And an entry for "<listed>" at line <entry>
    When the scenario "One" at line 3 fails
    Then the entry is reported with "<message>"

    Examples:
      | listed | entry | message           |
      | Two    | 32    | passes            |
      | Two    | 3     | is not "Two"      |
      | Two    | 33    | is not "Two"      |

  Scenario: An entry that can't be read is reported
    Given an entry "features/a.feature:3: no name"
    Then the entry is unreadable

  Scenario: A row of an outline is known by its own line
    Given the summary of a failed row of an outline, at line 41
    Then the failed scenario at line 41 is named as in its feature

  Scenario Outline: A case of the review is a known failure only as listed: <entry>
    A case that has been mended, or another one, must not stay listed unnoticed.
    Given a case of the review in "review/2" with the rule "LOST"
    And an entry for the case "<entry>"
    When the case "review/2" with the rule "LOST" <result>
    Then the faults of the list are "<faults>"

    Examples:
      | entry           | result | faults                         |
      | review/2 "LOST" | fails  |                                |
      | review/2 "LOST" | passes | review/2 passes, but is listed |
      | review/2 "GONE" | fails  | review/2 is not "GONE"         |
      | review/3 "LOST" | fails  | review/3 is not "LOST"         |

  Scenario: A scenario that fails is reported with its step and message
    A failure that shows once can't be traced without them.
    Given a feature with a step that fails with "the value was 7"
    When behave runs it with the formatter of failures
    Then its failure names the step and the message

  Scenario Outline: A listed scenario that fails at times fails CI only if each run alone fails: <runs> runs fail
    A failure at times must be sayable, and hide none that shows always.
    Given a repository in which "One" fails in its first 0 runs and "Two" in its first <runs> runs
    And its list has "Two" as failing at times
    When CI checks its features
    Then CI counts <passed> passed and <failed> failed
    And CI prints "fails at times: features/a.feature:5 "Two": <told>"
    And CI prints "fails at times: 1 listed, <seen> failed"
    And "Two" was run <count> times

    Examples:
      | runs | passed | failed | seen | count | told                   |
      | 0    | 2      | 0      | 0    | 1     | passed                 |
      | 1    | 1      | 0      | 1    | 2     | failed in 1 of 2 runs  |
      | 4    | 1      | 0      | 1    | 5     | failed in 4 of 5 runs  |
      | 5    | 1      | 1      | 1    | 5     | failed in each of 5 runs |

  Scenario: A scenario that isn't listed fails CI when it fails once
    What is listed as failing at times must excuse no other failure.
    Given a repository in which "One" fails in its first 1 runs and "Two" in its first 1 runs
    And its list has "Two" as failing at times
    When CI checks its features
    Then CI counts 0 passed and 1 failed
    And CI prints "failed: features/a.feature:3 "One""
    And "One" was run 1 times

  Scenario: A failure at times is printed with its step and message
    A failure that is passed over without them can't be traced.
    Given a repository in which "One" fails in its first 0 runs and "Two" in its first 1 runs
    And its list has "Two" as failing at times
    When CI checks its features
    Then CI prints "it passes after 1 runs: "
    And CI prints "run 1 of Two"

  Scenario: An entry that fails at times names a scenario that is there
    A scenario that has moved stays listed unnoticed, as nobody sees it fail.
    Given a repository in which "One" fails in its first 0 runs and "Two" in its first 0 runs
    And its list has "Three" as failing at times
    When CI checks its features
    Then CI counts 2 passed and 1 failed
    And CI prints "KNOWN-RED.txt: features/a.feature:5 is not "Three""

  Scenario Outline: An entry that fails at times says in how many runs it did: <entry>
    One that failed in each run, or in none, is no failure at times.
    Given an entry "<entry>: `behave features/a.feature:3`, as seen; issue 2"
    Then the entry is unreadable

    Examples:
      | entry                                             |
      | features/a.feature:3 "One" (fails at times)          |
      | features/a.feature:3 "One" (fails at times, 11 of 11) |
      | features/a.feature:3 "One" (fails at times, 0 of 11)  |
      | review/2 "LOST" (fails at times, 1 of 11)             |
