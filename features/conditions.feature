Feature: engines that differ in speed

  Scenario: A stated slowdown counts for half a second
    Reports with a fourth figure were dropped whole. The slowdown changes many
    times a second, so an old one says nothing.
    Given a request to a model engine
    When its answer reports the load "3,0,8,250"
    Then that engine has 3 running requests and the time factor 2.5
    And 0.6 seconds later the time factor 1.0

  Scenario Outline: The load "<load>" can't be read
    An impossible report must change nothing, and one engine that sends it with
    each answer must not fill the log.
    Given a request to a model engine
    When its answer reports the load "3,0,8,250"
    And it reports the load "<load>" 3 times
    Then that engine has 3 running requests and the time factor 2.5
    And 1 line tells of an unreadable load

    Examples:
      | load          |
      | 9,0,8,0       |
      | 9,0,8,10001   |
      | 9,0,8,fast    |
      | 9,0,8,²       |
      | 9,0,8,100,1   |
      | 9,0           |

  Scenario: Nothing changes for reports of three figures
    Given a request to a model engine
    When its answer reports the load "3,0,8"
    Then time factors do not apply to its service

  Scenario: The first token measures an engine's speed
    Given a request to a model engine
    When its answer reports the load "3,0,8,200"
    And its first token comes after 4.0 times the expected time
    Then its measured speed ratio is about 2.0
    And its gauge of the estimated one lies between 1.0 and 2.0

  Scenario: A new incarnation starts at the usual speed
    A machine that is replaced keeps its identifier.
    Given the hosts "r,s" of a domain with engines that report a slowdown
    When "r" measures the ratio 3.0 at "i/1" 20 times
    Then "r" has a ratio over 2.5 for "i/1"
    And "r" has the ratio 1.0 for "i/2"

  Scenario: A home engine that is good enough is kept
    A random choice would have each shared prompt part read at many engines.
    Given 8 engines with the time factors "1.0,1.0,1.05,1.0,0.95,1.0,1.0,1.0"
    Then 50 requests about one subject go to its home engine
    And 50 requests without subject go to at least 4 engines

  Scenario: Hosts know what others have measured
    A host sees one or two requests a minute at one engine.
    Given the hosts "r,s,t" of a domain with engines that report a slowdown
    When "s" measures the ratio 2.0 at "i/1" 9 times
    And 3.0 seconds of exchange pass
    Then "r" has a ratio over 1.5 for "i/1"
    And "t" has a ratio over 1.5 for "i/1"

  Scenario: Nothing is sent while no service reports a slowdown
    Given the hosts "r,s,t" of a domain
    When "s" measures the ratio 2.0 at "i/1" 9 times
    And 3.0 seconds of exchange pass
    Then "t" has the ratio 1.0 for "i/1"
    And no host has told another anything

  Scenario: The reader dies
    The hosts go on with what they have; it loses weight, and the next reader
    tells them what is new.
    Given the hosts "r,s,t" of a domain with engines that report a slowdown
    When "s" measures the ratio 2.0 at "i/1" 9 times
    And 3.0 seconds of exchange pass
    And the host "r" dies
    And 3.0 seconds of exchange pass
    Then "t" has a ratio over 1.5 for "i/1"
    When "s" measures the ratio 2.0 at "i/2" 9 times
    And 8.0 seconds of exchange pass
    Then "t" has a ratio over 1.5 for "i/2"
    When 240.0 seconds of exchange pass
    Then "t" has a ratio under 1.1 for "i/1"

  Scenario: A host that measures wrongly is outvoted
    Given the hosts "r,s,t,u,v" of a domain with engines that report a slowdown
    When "s" measures the ratio 900.0 at "i/1" 500 times
    And 3.0 seconds of exchange pass
    Then "s" has a ratio under 5.01 for "i/1"
    When "r,t,u,v" measure the ratio 1.0 at "i/1" 4 times
    And 4.0 seconds of exchange pass
    Then "t" has a ratio under 1.6 for "i/1"

  Scenario Outline: A <kind> message of speeds changes nothing
    Given the hosts "r,s" of a domain with engines that report a slowdown
    When "s" sends "r" a <kind> message of speeds
    Then "r" has the ratio 1.0 for "i/1"
    And the message was answered empty, and logged once

    Examples:
      | kind      |
      | truncated |
      | long      |
      | uneven    |

  Scenario Outline: Hosts at <load> of the capacity with reports of <age> s
    Hosts choose apart from each other, from old reports. If all chose the
    fastest engine, its queue would grow while others are idle.
    Given 16 engines, a quarter of them at 0.55 and the others at 1.2
    When 30 hosts choose among them at <load> of the capacity, reports <age> s old
    Then they answer in time at least 0.95 of what full knowledge does

    Examples:
      | load | age |
      | 0.5  | 0.2 |
      | 0.8  | 0.2 |
      | 1.0  | 0.2 |
      | 1.3  | 0.2 |
      | 0.8  | 1.0 |
      | 1.0  | 1.0 |

  Scenario: Speeds bring more answers in time than no speeds
    Given 16 engines, a quarter of them at 0.55 and the others at 1.2
    When 30 hosts choose among them at 0.8 of the capacity, reports 0.2 s old
    Then they answer in time more than without speeds

  Scenario: Equal engines serve no worse than without speeds
    Measurements vary by chance, and must not move requests for that.
    Given 16 equal engines
    When 30 hosts choose among them at 0.8 of the capacity, reports 0.2 s old
    Then they answer in time at least as many as without speeds, less 0.01
