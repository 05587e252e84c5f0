Feature: properties that hold for any input

  Scenario: any body of a caller is decoded or refused
    Then for any bytes a caller's body is decoded or refused with 400

  Scenario: any key of a caller is accepted as is or refused
    Then for any text an idempotency key is accepted as is or refused with 400

  Scenario: any authorization of a stranger is refused
    Then for any text a stranger's authorization is refused with 401

  Scenario: a deadline never exceeds the declared one
    Then for any number a caller's deadline is within the declared one

  Scenario: any deadline of a caller is accepted or refused
    A client sends a superscript two, or thousands of digits. Both count as
    digits but do not parse as integers, so the caller got a 500 with a
    traceback in place of a reason.
    Then for any text a caller's deadline is accepted or refused with 400

  Scenario: the bound on server-sent events does not depend on how bytes are split
    A line above the bound was accepted if it arrived in one piece and failed
    the call if it arrived in two, so the outcome of a call depended on how the
    network split the stream.
    Then for any split a line of server-sent events that is too long is refused

  Scenario: server-sent events do not depend on how bytes are split
    The network splits the stream anywhere, even within a character. If an
    event were lost or repeated at a split, the caller's text would be wrong.
    Then for any split of any short lines the server-sent events are the same

  Scenario: a stream's tokens and end do not depend on how bytes are split
    Then for any split of a complete stream the tokens and the reply are the same

  Scenario: a stream that is cut off anywhere is never whole
    Then for any proper prefix of a complete stream the reader reports lost

  Scenario: any bytes from an upstream end a call once
    An upstream sends invalid data. The reader must not raise into the event
    loop, and must report exactly one final event.
    Then for any bytes in any split a reader of streams ends once
    And for any bytes in any split a reader of replies ends once

  Scenario: tokens of several attempts are joined without repeat or gap
    Then for any attempts at a stream the joined tokens are a prefix of it

  Scenario: budgets and timeouts fit the remaining time
    Then for any times a stage's budget and timeout fit the remaining time

  Scenario: a non-idempotent call that may have run is never sent again
    Then for any state a non-idempotent call that may have run is not retried

  Scenario: an idempotent call is not tried more often than declared
    Then for any state a call is not tried more often than declared

  Scenario: any document is a manifest or has mistakes with their paths
    A build pipeline writes an invalid document. Applying it must report the
    mistakes and their paths, not a traceback.
    Then any text is a manifest or has mistakes
    And an example with any value replaced is a manifest or has mistakes
