Feature: Bad input gets a clear error and does not affect other requests

  Background:
    Given an entry host that serves the Kowalczyk example for bad input

  Scenario Outline: an invalid request is rejected with a reason
    Guards against unclear errors for a misconfigured client. The caller gets
    the reason and the outcome not-run at once; a valid request is answered.

    When the bad request "<case>" is sent
    Then it is rejected with <status> and a reason that says "<reason>"
    And a valid request after the bad one is answered
    And no upstream ran a stage for the bad request

    Examples:
      | case           | status | reason             |
      | no key         | 401    | no key             |
      | unknown key    | 401    | unknown key        |
      | other team     | 403    | not for this team  |
      | no pipeline    | 404    | no pipeline        |
      | no path        | 404    | no such path       |
      | wrong method   | 405    | use POST           |
      | not JSON       | 400    | the body is wrong  |
      | no input       | 400    | the body is wrong  |
      | deep JSON      | 400    | the body is wrong  |
      | odd deadline   | 400    | X-Deadline-Ms      |
      | zero deadline  | 400    | X-Deadline-Ms      |
      | long key       | 400    | Idempotency-Key    |
      | odd bytes      | 400    | Idempotency-Key    |
      | odd team key   | 401    | unknown key        |
      | odd digits     | 400    | X-Deadline-Ms      |
      | large body     | 413    | too large          |
      | short deadline | 503    | deadline           |

  Scenario: bytes that are not HTTP close only their own connection
    Guards against a client that uses another protocol on the callers' port.
    Its connection is closed; other callers are not affected.

    When 40 connections send seeded random bytes to the bad input host
    Then a valid request after the bad one is answered

  Scenario Outline: all wrong settings are reported at once
    When the entry command is run with bad input "<arguments>"
    Then it exits with 2 and <count> lines about its bad input

    Examples:
      | arguments                                                   | count |
      | --listen nowhere --admin 1.2.3.4 --domain UPPER             | 4     |
      | --host a --domain b --max-running zero --log-level loud     | 2     |
      | --host a --domain b --platform localhost:1                  | 1     |
