Feature: upstreams that state that they want no more requests

  Scenario Outline: An answer's header of a leaving upstream: "<header>"
    Given the permissions of a host
    When an answer states leaving with "<header>"
    Then it is <known> that its upstream leaves

    Examples:
      | header | known     |
      | 1      | known     |
      | 0      | not known |
      | yes    | not known |

  Scenario Outline: The time of an upstream that turns a request away: "<header>"
    Given the permissions of a host
    When an answer 503 asks for rest with "<header>"
    Then its upstream rests for <seconds> seconds

    Examples:
      | header                        | seconds |
      | 3                             | 3       |
      | 1.5                           | 1.5     |
      | 0                             | 0       |
      | -1                            | 0       |
      | soon                          | 0       |
      | nan                           | 0       |
      | 1e9                           | 300     |
      | 1_000                         | 0       |
      | Wed, 21 Oct 2026 07:28:04 GMT | 4       |
      | Wed, 21 Oct 2026 07:28:04 Z9  | 0       |
      | Wed, 21 Oct 99999999999999999999 07:28:04 GMT | 0 |

  Scenario: A date in an answer that has no date of its own is not read
    The clocks of hosts and upstreams differ.
    Given the permissions of a host
    When an answer 503 without a date asks for rest with "Wed, 21 Oct 2026 07:28:04 GMT"
    Then its upstream rests for 0 seconds
    And one line "rest-unreadable" tells of it

  Scenario: Only an answer that turns a request away asks for rest
    Given the permissions of a host
    When an answer 200 asks for rest with "3"
    Then its upstream rests for 0 seconds

  Scenario: Of several times that are asked for the one that ends last counts
    Given the permissions of a host
    When an answer 503 asks for rest with "3"
    And an answer 503 asks for rest with "1"
    Then its upstream rests for 3 seconds
    When 2 seconds pass for the permissions
    And an answer 503 asks for rest with "2"
    Then its upstream rests for 2 seconds
    And one line "upstream-resting" tells of it

  Scenario: Unreadable values are logged once in a while
    Given the permissions of a host
    When 20 answers state leaving with "yes"
    Then one line "leaving-unreadable" tells of it

  Scenario: Lines tell which upstream leaves or rests, and what a send knew of it
    Given a forwarded "idempotent" request
    When the upstream of forwarded send 0 turns it away, leaves, and asks for 3 seconds of rest
    Then lines tell that this upstream leaves, and that it rests for 3 seconds
    And each send's line tells whether its upstream was known to want no requests

  Scenario: A request whose upstream leaves while the connection opens is sent elsewhere
    The handshake may take as long as its timeout.
    Given a forwarded "once" request
    When the upstream of forwarded send 0 leaves before its connection is open
    Then nothing is sent to it, and the request is sent to another upstream

  Scenario: A request whose upstreams all leave is refused at once, with when to come back
    Given a forwarded "idempotent" request to upstreams that all leave
    When the forwarded request starts
    Then it is refused at once as not run, for "leaving", with at least 1 seconds to wait

  Scenario: Requests that wait for a token are refused once the last upstream leaves
    They would wait for nothing.
    Given a forwarded "idempotent" request to upstreams that are all limited
    When 4 forwarded requests arrive at once
    And all upstreams leave by their answers
    Then the one that was not sent is refused at once, with when to come back

  Scenario: A request that an upstream runs is not cut off when it leaves
    Given a forwarded "idempotent" request
    When all upstreams leave by their answers
    And the upstream of forwarded send 0 answers whole
    Then the caller gets the whole answer

  Scenario: A queue of stage work makes no calls to a worker that leaves
    Given a host with a stage queue over 2 workers
    When one worker states that it leaves, and 20 pieces are submitted
    Then all of them are sent to the other worker

  Scenario: News of leaving upstreams that can't be read leave no trace
    Given a host that shares which upstreams leave with its peers
    When a peer sends it unreadable news of leaving upstreams
    And the host itself learns that an upstream leaves
    Then it tells that peer of the leaving upstream

  Scenario: What the registry lists is not told besides
    In a release each upstream leaves, and links for news would stay open for long.
    Given a host that shares which upstreams leave with its peers
    And the registry lists that the upstream leaves
    When the host itself learns that an upstream leaves
    Then it tells that peer nothing

  Scenario: Upstreams that left are forgotten once they are gone for a while
    Upstreams restart under other names for months while a host runs.
    Given the permissions of a host
    When 50 upstreams state that they leave
    And 61 seconds pass for the permissions
    And one of them is still registered
    Then one upstream is known to leave

  Scenario: A request waits for the first of its upstreams to end its rest, by urgency
    Given a forwarded "idempotent" request to upstreams that all ask for 0.4 seconds of rest
    When 4 forwarded requests arrive at once
    Then nothing is sent yet
    When 0.5 seconds pass for the forwarded request
    Then all 4 are sent in the order of their urgency

  Scenario: Requests that wait for the end of a rest do not wake each other
    With hundreds waiting, each arrival would cost the host as many decisions.
    Given a forwarded "idempotent" request to upstreams that all ask for 2 seconds of rest
    When 60 forwarded requests arrive at once, and the waits are counted
    Then each of them has begun to wait once

  Scenario: A request waits beyond its target latency while its deadline bears it
    Given a forwarded "idempotent" request to upstreams that all ask for 2 seconds of rest
    When the forwarded request starts
    And 2.3 seconds pass for the forwarded request
    Then the request has been sent once

  Scenario: A request whose upstreams rest for too long is refused at once, with when to come back
    Given a forwarded "idempotent" request to upstreams that all ask for 5 seconds of rest
    When the forwarded request starts
    Then it is refused at once as not run, for "resting", with at least 5 seconds to wait
    And a line and the counts tell which rest held it back

  Scenario: A request with stage work is refused before it, if its upstreams rest for too long
    Given a forwarded "resumable" request with stage work, to upstreams that all ask for 5 seconds of rest
    When the forwarded request starts
    Then it is refused at once as not run, for "resting", with at least 5 seconds to wait
    And no stage work was done for it

  Scenario: A request that the last upstream turns away is told when to come back
    Given a forwarded "once" request
    When each of its upstreams turns it away and asks for 4 seconds of rest
    Then it is refused at once as not run, for "status 503", with at least 4 seconds to wait

  Scenario: A request whose upstream asks for rest while the connection opens is sent elsewhere
    Given a forwarded "once" request
    When the upstream of forwarded send 0 asks for rest before its connection is open
    Then nothing is sent to it, and the request is sent to another upstream

  Scenario: The others take the work at once, also those that the host backs off from
    Given a forwarded "idempotent" request to upstreams that rest, but one that failed before
    When the forwarded request starts
    Then it is sent to the one that does not rest

  Scenario: An upstream gets requests as soon as its rest is over
    The host's own back-off doubles with each refusal, and may last longer.
    Given a forwarded "idempotent" request to 1 upstreams
    When it is turned away 6 times, each time with 0.5 seconds of rest, and the rests are over
    Then the next request is sent at once

  Scenario: An answer to another request asks for nothing
    Given a forwarded "idempotent" request
    When the upstream of forwarded send 0 answers another request with 503 and asks for rest
    Then no upstream rests or leaves

  Scenario: The next incarnation of an upstream that rests is free
    Given the permissions of a host
    When an answer 503 asks for rest with "3"
    Then its next incarnation may be sent to

  Scenario: Hosts that are asked at the same instant come back one after the other
    Given the permissions of 40 hosts
    When an upstream asks all of them for 3 seconds of rest at once
    Then the first is back within 0.05 seconds of the end, and no tenth of a second has over 20

  Scenario: A stage worker that rests gets neither calls nor releases
    Given a host with a stage queue over 2 workers
    When one worker turns a call away and asks for 2 seconds of rest
    And 20 pieces are submitted, and a result at it is released
    Then nothing reaches it until its rest is over, and then it gets both

  Scenario: The wait of a queue counts the rest of its workers
    Given a host with a stage queue over 2 workers
    When all workers ask for 2 seconds of rest
    Then the queue's expected wait is at least 2 seconds

  Scenario: JSON calls go to another upstream while one rests
    Given requests to the JSON interface, one of its encoders asking for 3 seconds of rest
    When 40 JSON requests arrive in 2 seconds
    Then the resting encoder gets no call
    And every JSON request is answered
    When 2 seconds pass, and 40 JSON requests arrive in 2 seconds
    Then the resting encoder gets calls

  Scenario: A JSON request whose upstreams all rest is refused at once, with when to come back
    Given requests to the JSON interface, all encoders asking for 3 seconds of rest
    When 1 JSON requests arrive in 0.1 seconds
    Then it is refused as not run, for "resting", with at least 3 seconds to wait

  Scenario: The HTTP client of the JSON interface reads a time with a fraction
    Given an HTTP upstream that turns calls away and asks for 1.5 seconds of rest
    When a JSON call is made over HTTP
    Then the call has not run, and 1.5 seconds of rest are noted for that upstream
