Feature: Bad input gets a clear error and touches no other request

  Background:
    Given an entry host that serves the Kowalczyk example for bad input

  Scenario Outline: a wrong request is refused with its reason
    A caller's client is set up wrongly. The caller gets the reason at once and
    the word that nothing ran; a right request beside it is answered.

    When the bad request "<case>" is sent
    Then it is refused with <status> and a reason that says "<reason>"
    And a right request beside the bad one is answered
    And no upstream ran anything for the bad one

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

  Scenario: bytes that are no HTTP close their connection only
    Something speaks another protocol to the callers' port. Its connection is
    closed; callers beside it notice nothing.

    When 40 connections send seeded random bytes to the bad input host
    Then a right request beside the bad one is answered

  Scenario Outline: wrong settings are all told at once
    When the entry command is run with bad input "<arguments>"
    Then it exits with 2 and <count> lines for its bad input

    Examples:
      | arguments                                                   | count |
      | --listen nowhere --admin 1.2.3.4 --domain UPPER             | 4     |
      | --host a --domain b --max-running zero --log-level loud     | 2     |
      | --host a --domain b --platform localhost:1                  | 1     |
