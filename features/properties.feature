Feature: properties that hold for any input

  Scenario: any body of a caller is decoded or refused
    Then for any bytes a caller's body is decoded or refused with 400

  Scenario: any key of a caller is taken as it is or refused
    Then for any text an idempotency key is taken as it is or refused with 400

  Scenario: any authorization of a stranger is refused
    Then for any text a stranger's authorization is refused with 401

  Scenario: a deadline is never longer than declared
    Then for any number a caller's deadline is within the declared one

  Scenario: any deadline of a caller is taken or refused
    A client sends a superscript two, or thousands of digits. Both pass for
    digits and are no numbers that the language reads: the caller got a 500
    with a traceback in place of a reason.
    Then for any text a caller's deadline is taken or refused with 400

  Scenario: the bound on server-sent events does not depend on how bytes are split
    A line above the bound passed if it came in one piece and broke the call if
    it came in two, so that the network's cuts decided on a call's end.
    Then for any split a line of server-sent events that is too long is refused

  Scenario: server-sent events do not depend on how bytes are split
    The network cuts the stream anywhere, in the middle of a character too.
    Were an event lost or doubled at a cut, the caller's text would be wrong.
    Then for any split of any short lines the server-sent events are the same

  Scenario: a stream's tokens and end do not depend on how bytes are split
    Then for any split of a whole stream the tokens and the reply are the same

  Scenario: a stream that is cut off anywhere is never whole
    Then for any proper prefix of a whole stream the reader says lost

  Scenario: any bytes from an upstream end a call once
    An upstream sends rubbish. The reader must not raise into the network's
    loop, and whoever waits must be told exactly one end.
    Then for any bytes in any split a reader of streams ends once
    And for any bytes in any split a reader of replies ends once

  Scenario: tokens of several attempts are joined without repeat or gap
    Then for any attempts at a stream the joined tokens are its beginning

  Scenario: budgets and timeouts stay within what is left
    Then for any times a stage's budget and timeout stay within what is left

  Scenario: a non-idempotent call that may have run is never sent again
    Then for any state a non-idempotent call that may have run is not retried

  Scenario: an idempotent call is not tried more often than declared
    Then for any state a call is not tried more often than declared

  Scenario: any document is a manifest or has mistakes with their paths
    A build pipeline writes a wrong document. Whoever applies it must be told
    what is wrong and where, not be shown a traceback.
    Then any text is a manifest or has mistakes
    And an example with anything in it replaced is a manifest or has mistakes
