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
