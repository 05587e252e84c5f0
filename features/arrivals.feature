Feature: a caller that comes back is known by the key of its stage work

  Scenario: A caller that was refused comes back
    A caller is sent away from a full queue and comes back 0.9 s later, under
    another attempt and at another host. Its answer is worth most within its
    aim from the first time; taken for a new caller, it would go before others
    that can still be in time.
    Given a stage queue over workers in "a" that is full
    When the caller "k" asks as "first", due in 0.5 seconds
    And 0.9 seconds later the caller "k" asks as "second", due in 0.5 seconds
    Then stage request "first" is refused, 0.0 seconds after the caller's first
    And stage request "second" is refused, 0.9 seconds after the caller's first

  Scenario: Callers differ in how long they wait
    Of two new callers one has a seventh less time left. Guessed from the time
    left, it had come 0.4 s ago: a seventh of all plans was refused on a calm
    day that could be served.
    Given a stage queue over workers in "a"
    When the caller "k" asks as "patient", due in 2.0 seconds
    And 0.1 seconds later the caller "l" asks as "hasty", due in 2.0 seconds
    And all stage calls are answered
    Then stage request "patient" is made, 0.0 seconds after the caller's first
    And stage request "hasty" is made, 0.0 seconds after the caller's first

  Scenario: Two first steps of one request are no return
    Given a stage queue over workers in "a,b"
    When the caller "k" asks as "one", due in 2.0 seconds
    And 0.3 seconds later the caller "k" asks as "one" for another step
    And all stage calls are answered
    Then stage request "one" is made, 0.0 seconds after the caller's first

  Scenario: A caller that came back goes behind one that can be in time
    Given a stage queue over workers in "a" that is full
    When the caller "k" asks as "first", due in 0.5 seconds
    And 1.0 seconds later the caller "k" asks as "again", due in 3.5 seconds
    Then stage request "again" is refused, 1.0 seconds after the caller's first
    When the caller "n" asks as "new", due in 3.5 seconds
    Then stage request "new" waits

  Scenario: Later steps of a request are due from its caller's first arrival
    Given a chain of two steps whose caller came 0.6 seconds before
    Then its second step is due 0.6 seconds before the plan's time

  Scenario: A first step that begins late is due by its owner's knowledge alone
    Its owner takes off the time since the caller's first arrival; taken off
    twice, the step would go behind those of other callers.
    Given a chain of a step beside another whose caller came 0.6 seconds before
    Then its late step is due at the plan's time

  Scenario: Keys are forgotten with their callers' deadlines
    Given first arrivals of 500 callers that leave after 6 seconds
    When 7 seconds later another caller comes
    Then one first arrival is remembered

  Scenario: No burst of callers fills the memory
    Given first arrivals of 25000 callers that leave after 6 seconds
    Then at most 20000 first arrivals are remembered
