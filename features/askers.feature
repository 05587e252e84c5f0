Feature: what dead hosts held, and what owners said long ago

  Scenario: Most hosts lose power at once and come back
    They release nothing, so half of a stage's room was taken for four seconds by
    results that nobody could read; the queue that grew behind it was told to all,
    who went on refusing long after it was empty.
    When 60 in 100 of 9 hosts lose power for 2 seconds at 1.5 times the load
    Then 4 seconds later at least 90 in 100 requests are in their aim

  Scenario: The results of a host that lost power are released
    Given a host that holds results of the owner of "intake"
    When it loses power and 2.4 seconds pass
    Then the upstreams of "intake" hold no results

  Scenario: Pieces that a host waited for as it lost power are withdrawn
    Given a host that waits for pieces of the owner of "intake"
    When it loses power and 2.4 seconds pass
    Then the owner of "intake" has no group left

  Scenario: A host that only lost its connection keeps its results
    It has dialed again within a moment and still needs them. Released, the
    request would find its inputs gone.
    Given a host that holds results of the owner of "intake"
    When its link to the owner is reset and 1.2 seconds pass
    Then the upstreams of "intake" hold its results

  Scenario: A new process under the host's name holds nothing of before
    Given a host that holds results of the owner of "intake"
    When its process is replaced at once and 0.7 seconds pass
    Then the upstreams of "intake" hold no results

  Scenario: An owner that said that its queue is long is asked again
    All hosts were told so by the last answers. Nothing reached the queue after
    that, and for two seconds nobody heard that it was empty.
    Given a host that was told 0.5 seconds ago that "portal" is 3 seconds long
    When it has a chain begun that goes through "portal"
    Then it counts on less than a second for "portal"

  Scenario: An owner that does not answer is taken by its last word
    Given a host that was told 0.5 seconds ago that "portal" is 3 seconds long
    When the owner of "portal" loses power
    And it has a chain begun that goes through "portal"
    Then the chain begins after 0.1 seconds by the last word

  Scenario: A word that is new is not asked for again
    Given a host that was told 0.1 seconds ago that "portal" is 3 seconds long
    When it has a chain begun that goes through "portal"
    Then no owner was asked how long its queue is

  Scenario: A host whose link to the owner is cut goes on by way of another host
    It lives, and asks another host, which passes its work on. Given up with its
    first ask, its request would be refused.
    Given a host that waits for 4 more seconds for the owner of "intake"
    When its link to the owner is cut for good and 5.5 seconds pass
    Then its chain has its results

  Scenario: What a host holds is kept when it is needed by way of another host
    Given a host that holds results of the owner of "intake"
    When its link to the owner is cut for good and 1.3 seconds pass
    And another host asks for work with these results as inputs
    And 1.5 seconds pass at all hosts
    Then the upstreams of "intake" hold its results
