Feature: recognition of retrying callers by the key of their stage work

  Scenario: A caller that was refused comes back
    A caller is refused by a full queue and retries 0.9 s later, as another
    attempt and at another host. Its target latency counts from the first
    arrival. If it were treated as a new caller, it would overtake callers that
    can still be answered in time.
    Given a stage queue over workers in "a" that is full
    When caller "k" sends attempt "first", due in 0.5 seconds
    And 0.9 seconds later caller "k" sends attempt "second", due in 0.5 seconds
    Then stage request "first" is refused, 0.0 seconds after the first arrival
    And stage request "second" is refused, 0.9 seconds after the first arrival

  Scenario: New callers with different timeouts are not taken for retries
    Of two new callers, one has a seventh less time remaining. An estimate from
    the remaining time classified it as a retry that had arrived 0.4 s earlier.
    Under light load, this refused a seventh of all plans that could be served.
    Given a stage queue over workers in "a"
    When caller "k" sends attempt "patient", due in 2.0 seconds
    And 0.1 seconds later caller "l" sends attempt "hasty", due in 2.0 seconds
    And all stage calls are answered
    Then stage request "patient" is made, 0.0 seconds after the first arrival
    And stage request "hasty" is made, 0.0 seconds after the first arrival

  Scenario: Two first steps of one request are not a retry
    Given a stage queue over workers in "a,b"
    When caller "k" sends attempt "one", due in 2.0 seconds
    And 0.3 seconds later caller "k" sends attempt "one" for another step
    And all stage calls are answered
    Then stage request "one" is made, 0.0 seconds after the first arrival

  Scenario: A retrying caller is ranked behind one that can be in time
    Given a stage queue over workers in "a" that is full
    When caller "k" sends attempt "first", due in 0.5 seconds
    And 1.0 seconds later caller "k" sends attempt "again", due in 3.5 seconds
    Then stage request "again" is refused, 1.0 seconds after the first arrival
    When caller "n" sends attempt "new", due in 3.5 seconds
    Then stage request "new" waits

  Scenario: Due times of later steps count from the caller's first arrival
    Given a chain of two steps whose caller arrived 0.6 seconds before
    Then its second step is due 0.6 seconds before the plan's time

  Scenario: The time since the first arrival is subtracted only once
    The owner of a first step that starts late subtracts the time since the
    caller's first arrival. If the chain subtracted it too, the step would be
    ranked behind those of other callers.
    Given a chain with a parallel step whose caller arrived 0.6 seconds before
    Then its late step is due at the plan's time

  Scenario: Keys are dropped after their callers' deadlines
    Given first arrivals of 500 callers that leave after 6 seconds
    When 7 seconds later another caller arrives
    Then one first arrival is remembered

  Scenario: The number of remembered keys is limited
    Given first arrivals of 25000 callers that leave after 6 seconds
    Then at most 20000 first arrivals are remembered
