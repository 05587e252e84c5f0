Feature: recorded runs are held against the claims' specification

  Scenario: a run with a lost answer, a crash and a repeat is one of the specification
    When the recorded run "a repeat after a crash" is held against the specification
    Then the recorded run is one of the specification

  Scenario: a run of two hosts that race for a position is one of the specification
    When the recorded run "a lost race" is held against the specification
    Then the recorded run is one of the specification

  Scenario: a run with a forwarded claim and a release is one of the specification
    When the recorded run "a release and a repeat" is held against the specification
    Then the recorded run is one of the specification

  Scenario: a call that was given back may be handed over again
    When the recorded run "a call that was given back" is held against the specification
    Then the recorded run is one of the specification

  Scenario: a specified claim must be durable before the call
    A host hands the call over while its append is still on the way. The host
    dies, the append is lost, the caller repeats elsewhere: two vans come.
    When the recorded run "dispatch before apply" is held against the specification
    Then the recorded run departs at event 2, since "the guard of dispatch"

  Scenario: a specified append does not skip a position
    A host appends beyond a position that it has not read. The claim that is
    written there meanwhile is missed, and both hosts run the key.
    When the recorded run "a skipped position" is held against the specification
    Then the recorded run departs at event 3, since "the guard of open"

  Scenario: a specified append goes on only when the one before is settled
    The answer to an append is lost, and its host tries another batch at the
    next position. Then the first is applied after all.
    When the recorded run "an append left in doubt" is held against the specification
    Then the recorded run departs at event 3, since "the guard of abandon"

  Scenario: a specified object is never written over
    The store takes a second create of the same name. The first claim is gone
    from the log, and its key is free again for a second run.
    When the recorded run "a create over an object" is held against the specification
    Then the recorded run departs at event 5, since "the guard of apply"

  Scenario: a specified key that is held is not claimed again
    When the recorded run "a second claim" is held against the specification
    Then the recorded run departs at event 5, since "the guard of open"

  Scenario: a specified request that was refused is not dispatched
    The deadline passes while the append is in doubt, and the caller is told
    that nothing ran. The answer comes, and the call is handed over.
    When the recorded run "dispatch after refusal" is held against the specification
    Then the recorded run departs at event 4, since "the guard of dispatch"

  Scenario: a specified claim of a request that ran is not released
    When the recorded run "a release after the run" is held against the specification
    Then the recorded run departs at event 4, since "the guard of refuse"

  Scenario: a specified request is dispatched once
    When the recorded run "two dispatches" is held against the specification
    Then the recorded run departs at event 4, since "the guard of dispatch"

  Scenario: runs of the claims' real code are runs of the specification
    Hosts die, are paused and cut off; the store loses answers and applies
    writes late; callers repeat their keys. Were code and specification two
    things, what is proved of one would say nothing of the other.
    Then 10 recorded claims stories are runs of the specification

  Scenario Outline: a run of the claims without "<guard>" departs from the specification
    Then the recorded claims story <seed> without "<guard>" departs at an event "<action>"

    Examples:
      | seed | guard                                 | action   |
      | 0    | the read-back of an append in doubt   | dispatch |
      | 0    | settling a number before the next     | open     |
      | 0    | the read of the log before an append  | open     |
      | 0    | create-if-absent                      | apply    |
      | 0    | the claim before the dispatch         | dispatch |
      | 8    | keeping the key of an unknown outcome | refuse   |
      | 2    | leaving the claims of others alone    | open     |
