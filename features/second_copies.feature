Feature: Upstreams that answer twice, or with two framings that contradict

  Scenario Outline: A length that contradicts the chunks: <size>, <path>
    Guards against an answer that is whole by one framing and not by the other.
    When a length of <size> is sent beside chunks and read <path>
    Then no caller gets an answer that is complete of what was sent twice

    Examples:
      | size | path           |
      | 500  | directly       |
      | 500  | through a peer |
      | 5    | directly       |
      | 5    | through a peer |
      | 0    | directly       |

  Scenario Outline: A log line tells what was wrong: <fault>
    Guards against an upstream in trouble that operators can't find.
    When <fault> is sent to a request that may run once
    Then event 1207 says "<reason>", and that its body was <end>

    Examples:
      | fault                       | reason                                        | end       |
      | a length that contradicts   | torn answer, its length and chunks contradict | misframed |
