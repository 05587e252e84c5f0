Feature: recorded runs are checked against the specification of the claims

  Scenario: a run with a lost answer, a crash and a repeat conforms to the specification
    When the recorded run "a repeat after a crash" is checked against the specification
    Then the recorded run conforms to the specification

  Scenario: a run of two hosts that race for a position conforms to the specification
    When the recorded run "a race for a position" is checked against the specification
    Then the recorded run conforms to the specification

  Scenario: a run with a forwarded claim and a release conforms to the specification
    When the recorded run "a release and a repeat" is checked against the specification
    Then the recorded run conforms to the specification

  Scenario: a call that did not run may be dispatched again
    When the recorded run "a call that did not run" is checked against the specification
    Then the recorded run conforms to the specification

  Scenario: the specification requires a durable claim before the dispatch
    A host dispatches the call while its append is still in flight. If the host
    crashes and the append is lost, a repeat at another host runs the key a
    second time: two vans are sent.
    When the recorded run "dispatch before apply" is checked against the specification
    Then the recorded run deviates at event 2 because of "the guard of dispatch"

  Scenario: the specification forbids an append that skips a position
    A host appends after a position that it has not read. It misses a claim
    that another host writes at this position, and both hosts run the key.
    When the recorded run "a skipped position" is checked against the specification
    Then the recorded run deviates at event 3 because of "the guard of open"

  Scenario: the specification forbids an append while another is in doubt
    The answer to an append is lost, and its host sends another batch. Then the
    first append is applied after all.
    When the recorded run "an append in doubt" is checked against the specification
    Then the recorded run deviates at event 3 because of "the guard of abandon"

  Scenario: the specification forbids overwriting an object
    If the store accepts a second create of the same name, the first claim is
    lost from the log, and its key is free for a second run.
    When the recorded run "an overwritten object" is checked against the specification
    Then the recorded run deviates at event 5 because of "the guard of apply"

  Scenario: the specification forbids a claim of a key that is held
    When the recorded run "a claim of a held key" is checked against the specification
    Then the recorded run deviates at event 5 because of "the guard of open"

  Scenario: the specification forbids the dispatch of a refused request
    The deadline passes while the append is in doubt, and the caller gets the
    answer that nothing ran. Then the append succeeds, and the call is
    dispatched.
    When the recorded run "dispatch after refusal" is checked against the specification
    Then the recorded run deviates at event 4 because of "the guard of dispatch"

  Scenario: the specification forbids the release of a request that ran
    When the recorded run "a release after the run" is checked against the specification
    Then the recorded run deviates at event 4 because of "the guard of refuse"

  Scenario: the specification forbids a second dispatch of a request
    When the recorded run "two dispatches" is checked against the specification
    Then the recorded run deviates at event 4 because of "the guard of dispatch"

  Scenario: runs of the claims code conform to the specification
    Hosts crash, are paused and are partitioned; the store loses answers and
    applies writes late; callers repeat their keys. If the code differed from
    the specification, the proofs would not apply to the code.
    Then 10 recorded claims scenarios conform to the specification

  Scenario Outline: a run of the claims code without "<guard>" deviates from the specification
    Then the recorded claims scenario <seed> without "<guard>" deviates at an event "<action>"

    Examples:
      | seed | guard                                 | action   |
      | 0    | the read-back of an append in doubt   | dispatch |
      | 0    | settling a number before the next     | open     |
      | 0    | the read of the log before an append  | open     |
      | 0    | create-if-absent                      | apply    |
      | 0    | the claim before the dispatch         | dispatch |
      | 8    | keeping the key of an unknown outcome | refuse   |
      | 2    | leaving the claims of others alone    | open     |
