Feature: upstreams whose bytes are no answer and have no end

  Scenario: A head without an end is refused at once
    Guards against a head that is read until the deadline of its request.
    Given a host whose upstream keeps each connection open
    When the upstream answers a request that may run once with endless heads
    Then the caller of each gets 502 "endless head"

  Scenario: Another upstream is asked when a body is no answer and has no end
    Guards against megabytes that are read, or passed on, until the deadline.
    When the first upstreams of some requests send megabytes of
      | route      | bytes                             |
      | resumable  | one event                         |
      | resumable  | one event after others            |
      | resumable  | the same events                   |
      | resumable  | events without an id              |
      | resumable  | events without an id after others |
      | resumable  | comments                          |
      | resumable  | comments after events             |
      | resumable  | a failure                         |
      | idempotent | a failure                         |
      | idempotent | a whole answer                    |
    Then each of them is answered whole by another upstream

  Scenario: An upstream that drips bytes of no answer counts as a silent one
    Guards against bytes that keep an upstream from being silent.
    When the first upstreams of some requests drip for 2 seconds
      | route      | bytes                             |
      | resumable  | one event                         |
      | resumable  | one event after others            |
      | resumable  | the same events                   |
      | resumable  | events without an id              |
      | resumable  | events without an id after others |
      | resumable  | comments                          |
      | resumable  | comments after events             |
      | resumable  | a failure                         |
      | idempotent | a failure                         |
      | idempotent | a whole answer                    |
    Then another upstream is asked beside each of them
    And each of them is answered whole by another upstream

  Scenario: A long head after interim heads is the head of an answer
    The opposite case: as many lines as callers may send, and some heads before.
    Given a host whose upstream keeps each connection open
    When the upstream answers with 20 interim heads and 16000 bytes of lines
    Then the caller gets a complete 200

  Scenario: An event in many parts is not copied with each of them
    Guards against work that grows with the square of an event's size.
    When a stream is split that brings 2 MB of an event in parts of 1 kB
    Then each part of it takes less than 10 kB of new memory on average
    And the event is returned as it was sent
