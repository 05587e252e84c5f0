Feature: rates that upstreams accept from all hosts together

  Scenario Outline: Hosts that know an upstream's rate keep the sum of it: <rate> a second
    Each host knows the rate from an answer, and together they send more.
    Given 9 hosts and 9 upstreams in 4 failure domains that state their rates
    When an upstream states a rate of <rate> a second, with <load> requests a second to all hosts for 20 seconds
    Then in no 4 seconds it gets more from the hosts that know than the rate allows

    Examples:
      | rate | load |
      | 0.2  | 25   |
      | 1    | 25   |
      | 2.5  | 60   |

  Scenario Outline: The sum holds while hosts fail: <fault>, <hosts> hosts, <rate> a second
    A host that takes over, or that is cut off from the others, may send what
    another host has already given away.
    Given <hosts> hosts and 1 upstreams in <domains> failure domains that state their rates
    And the fault "<fault>" while an upstream states its rate
    When an upstream states a rate of <rate> a second, with <load> requests a second to all hosts for 20 seconds
    Then in no 4 seconds it gets more from all hosts than the rate allows
    And it gets at least <use> of what the rate permits

    Examples:
      | hosts | domains | rate | load | use | fault               |
      | 9     | 4       | 1    | 3    | 0.9 | none                |
      | 9     | 4       | 10   | 30   | 0.9 | none                |
      | 30    | 3       | 2.5  | 10   | 0.9 | none                |
      | 9     | 4       | 10   | 30   | 0.9 | store away          |
      | 9     | 4       | 10   | 30   | 0.2 | readers ended       |
      | 9     | 4       | 10   | 30   | 0.2 | allocator ended     |
      | 9     | 4       | 10   | 30   | 0.2 | allocator cut off   |
      | 9     | 4       | 10   | 30   | 0.2 | domain cut off      |
      | 9     | 4       | 10   | 30   | 0.2 | all hosts isolated  |
      | 30    | 3       | 2.5  | 10   | 0.2 | all hosts isolated  |
      | 9     | 4       | 10   | 30   | 0.2 | all hosts restarted |
      | 9     | 4       | 1    | 3    | 0.2 | two halves          |
      | 9     | 4       | 10   | 30   | 0.2 | two halves          |
      | 9     | 4       | 2.5  | 10   | 0.2 | two halves apart    |
      | 9     | 4       | 10   | 30   | 0.2 | two halves apart    |
      | 30    | 3       | 10   | 30   | 0.2 | two halves apart    |
      | 9     | 4       | 10   | 30   | 0.2 | all hosts isolated for long |

  Scenario: An upstream lowers its rate while tokens are out
    Hosts hold tokens that were given for the higher rate.
    Given 9 hosts and 1 upstreams in 4 failure domains that state their rates
    And the fault "rate lowered" while an upstream states its rate
    When an upstream states a rate of 10 a second, with 30 requests a second to all hosts for 20 seconds
    Then from 10 seconds after its first statement it gets no more than a rate of 1 allows

  Scenario: All hosts know of a limit that one host was told, and that it is over
    A host that sends nothing there would not learn it from an answer.
    Given 9 hosts and 9 upstreams in 4 failure domains that state their rates
    When one host is told that an upstream accepts 1 request a second
    Then all hosts know of the limit within 1 seconds
    When that host is told that it accepts any number
    Then no host knows of a limit after 1 seconds

  Scenario: A host that starts learns which upstreams are limited
    Given 9 hosts and 9 upstreams in 4 failure domains that state their rates
    When one host is told that an upstream accepts 1 request a second
    And another host joins
    Then all hosts know of the limit within 2 seconds

  Scenario: A limit that comes and goes with each answer is not told each time
    Each statement would reach each host in turn.
    Given 9 hosts and 9 upstreams in 4 failure domains that state their rates
    When one host is told 100 times in 5 seconds that an upstream is limited, and that it is not
    Then no host has sent over 8 messages of it to one of its neighbours

  Scenario: A new incarnation of an upstream is not limited
    Given 9 hosts and 9 upstreams in 4 failure domains that state their rates
    When an upstream states a rate of 1 a second, with 25 requests a second to all hosts for 6 seconds
    And that upstream crashes, and starts again without a rate
    Then the new incarnation gets over 16 of 100 requests a second in the next 2 seconds

  Scenario: A queue of stage work keeps the rate of its workers
    Calls to stage upstreams are requests like others.
    Given a queue whose only worker accepts 1 call a second
    When 40 pieces wait for 10 seconds
    Then it has made at least 9 and at most 14 calls

  Scenario: A request without a permitted upstream goes to another one
    Given a forwarded "idempotent" request to upstreams that are limited, but one
    When the forwarded request starts
    Then it is sent to the one without a limit

  Scenario: A request that no upstream can take in time is refused at once
    Its caller would wait for nothing, and should know when to come back.
    Given a forwarded "idempotent" request to upstreams that are all limited
    When 12 forwarded requests arrive at once
    Then those that can't be sent in time are refused at once, with when to come back
    When the answers to those that were sent are lost after a second
    Then those that wait are sent in the order of their urgency

  Scenario: A request with stage work is refused before it, if no upstream can take it in time
    Stage work takes seconds of upstreams, and would be in vain.
    Given a forwarded "resumable" request with stage work, to upstreams that are all limited
    When 12 forwarded requests arrive at once
    And one with stage work that is less urgent than they
    Then it is refused with a line that tells which rate held it back, and no stage work was done

  Scenario: News that can't be read leave no trace
    Given a host that shares rates with its peers
    When a peer sends it news that can't be read
    And the host itself learns that an upstream is limited
    Then it tells that peer as well

  Scenario: A request does not wait long for an allocator that does not answer
    Another upstream is free, and the request may be due within a fraction of a second.
    Given a forwarded "idempotent" request to upstreams that are limited, but one
    And the host that allocates their rates does not answer
    When the forwarded request starts
    And 0.1 seconds pass for the forwarded request
    Then it is sent to the one without a limit

  Scenario: A host that leaves allocates nothing any more
    Given 9 hosts and 9 upstreams in 4 failure domains that state their rates
    When the host that allocates a limited upstream's rate leaves
    Then it ranks another host first for that upstream

  Scenario: A host that is missing from the list keeps its rank while it runs
    Two hosts that each miss the other would both allocate.
    Given 9 hosts and 9 upstreams in 4 failure domains that state their rates
    When one host is told that an upstream accepts 1 request a second
    And the allocator of that upstream goes missing from the lists of all hosts
    Then after 1 seconds all hosts still rank it first
    When it ends
    Then after 3 seconds all hosts rank another one first

  Scenario: A host that is missing from the list as it leaves keeps no rank
    Given 9 hosts and 9 upstreams in 4 failure domains that state their rates
    When one host is told that an upstream accepts 1 request a second
    And the allocator of that upstream leaves, and goes missing from all lists
    Then after 1 seconds all hosts rank another one first

  Scenario Outline: Tokens of an allocation: seed <seed>
    Hosts ask at random times, use or return tokens, or fall silent.
    Given an allocation of <rate> requests a second
    When 9 hosts ask at random for 60 seconds, by seed <seed>
    Then in no 4 seconds more tokens were used than the rate and the capacity permit

    Examples:
      | seed | rate |
      | 1    | 0.2  |
      | 2    | 1    |
      | 3    | 2.5  |
      | 4    | 10   |
      | 5    | 40   |

  Scenario: Messages of another host with a rate out of bounds are not taken
    Given an encoded statement of a rate of 1e12
    Then decoding it fails

  Scenario Outline: The header of an answer: "<header>"
    Given an upstream that a host knows nothing of
    When its answer states "<header>"
    Then its known rate is <rate>

    Examples:
      | header    | rate |
      | 2.5       | 2.5  |
      | 0         | 0.1  |
      | -1        | 0    |
      | nan       | 0    |
      | inf       | 0    |
      | many      | 0    |
      | 1e9       | 0    |
      | 4, 1      | 1    |

  Scenario: An unreadable value changes nothing and is logged once
    Given an upstream that a host knows nothing of
    When its answer states "2"
    And 20 answers state "?"
    Then its known rate is 2
    And one line tells of an unreadable rate

  Scenario: Upstreams that are gone are forgotten with their rates
    Upstreams restart under other names for months while a host runs.
    Given a host that has allocated the rates of 50 upstreams
    When 61 seconds pass, and one of them is still registered
    Then the host knows of one upstream's rate, allocation, tokens and order

  Scenario: A rate is over once an answer without it proves whose it is
    Given an upstream that a host knows nothing of
    When its answer states "2"
    And an answer without a rate proves nothing
    Then its known rate is 2
    When an answer without a rate proves whose it is
    Then its known rate is 0

  Scenario: A send's line tells the rate that the host knew
    Given a forwarded "idempotent" request
    When the upstream of forwarded send 0 has stated a rate of 2 a second
    Then a line tells of the rate of that upstream

  Scenario: Operators see a limited upstream, and why a request was refused
    Given a forwarded "idempotent" request to upstreams that are all limited
    When 12 forwarded requests arrive at once
    Then a line tells for each refused one which rate held it back
    And the gauges tell the rate of each upstream, and what was held back

  Scenario: JSON calls go to another upstream when one has no token
    Given requests to the JSON interface, one of its encoders limited to 1 a second
    When 40 JSON requests arrive in 8 seconds
    Then the limited encoder gets between 4 and 13 calls
    And every JSON request is answered

  Scenario: A JSON request whose upstreams are all limited is told when to come back
    Given requests to the JSON interface, all encoders limited to 1 a second
    When 40 JSON requests arrive in 1 seconds
    Then some JSON requests are refused as not run, with when to come back
    And each encoder gets at most 9 calls

  Scenario: The HTTP client of the JSON interface reads the rate of an answer
    Given an HTTP upstream that states a rate of 3 a second
    When a JSON call is made over HTTP
    Then the rate of 3 a second is noted for that upstream
