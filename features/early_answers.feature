Feature: Long uploads that are answered before they were read

  Scenario Outline: A part of an early answer is complete for no caller: <framing>, <end>
    Guards against a part of an answer that passes for all of it.
    When upstreams answer uploads early with a part of <framing>
    And these upstreams <do>, and each <end> the connection
    Then no caller of an upload gets an answer that is complete

    Examples:
      | framing    | do                | end                |
      | no framing | read nothing more | resets             |
      | no framing | read the request  | resets             |
      | a length   | read nothing more | resets             |
      | a length   | read the request  | resets             |
      | chunks     | read nothing more | resets             |
      | chunks     | read the request  | resets             |
      | a length   | read nothing more | closes             |
      | chunks     | read nothing more | closes its side of |
      | no framing | read nothing more | closes             |
      | no framing | read nothing more | closes its side of |

  Scenario: A caller is told why an early answer is not whole
    Guards against an upstream in trouble that operators can't find.
    When upstreams answer uploads early with a part of no framing
    And these upstreams read nothing more, and each closes the connection
    Then the caller of what may run once gets 502 "torn answer, closed before the request was received"

  Scenario Outline: An early answer that is whole arrives: <framing>, <end>
    The opposite case: an upstream may answer before it has read a request.
    When upstreams answer uploads early with all of <framing>
    And these upstreams <do>, and each <end> the connection
    Then each caller of an upload gets a whole answer

    Examples:
      | framing    | do                | end                |
      | a length   | read nothing more | resets             |
      | chunks     | read nothing more | resets             |
      | a length   | read nothing more | closes             |
      | chunks     | read nothing more | closes its side of |
      | no framing | read the request  | closes             |
      | no framing | read the request  | closes its side of |

  Scenario Outline: An early failure without framing is passed on: <end>
    The opposite case: what counts is its status, and no part of it is a success.
    When upstreams refuse uploads early without framing
    And these upstreams read nothing more, and each <end> the connection
    Then each caller of an upload gets that failure

    Examples:
      | end                |
      | closes             |
      | closes its side of |

  Scenario Outline: An early failure without framing is passed on through a peer: <end>
    Guards against a failure that is lost as its upload was not read.
    When upstreams refuse uploads early without framing
    And these upstreams read nothing more, and each <end> its connection to a peer of a host
    Then each caller of an upload gets that failure

    Examples:
      | end                |
      | closes             |
      | closes its side of |

  Scenario Outline: A part of an early answer is complete for no caller through a peer: <end>
    Guards against an early close that a peer passes on as the end of an answer.
    When upstreams answer uploads early with a part of no framing
    And these upstreams read nothing more, and each <end> its connection to a peer of a host
    Then no caller of an upload gets an answer that is complete

    Examples:
      | end                |
      | closes             |
      | closes its side of |

  Scenario Outline: How an early answer ends through a peer: <answer>, <end>
    Guards against a peer that ends an answer in order which its upstream did not.
    When upstreams answer uploads early with <answer>
    And these upstreams <do>, and each <end> its connection to a peer
    Then the upload through the peer ends as <how>

    Examples:
      | answer               | do                | end                | how    |
      | a part of no framing | read nothing more | resets             | broken |
      | a part of no framing | read nothing more | closes             | early  |
      | a part of no framing | read nothing more | closes its side of | early  |
      | a part of no framing | read the request  | resets             | broken |
      | a part of a length   | read nothing more | closes             | broken |
      | all of a length      | read nothing more | closes             | whole  |
      | all of chunks        | read nothing more | closes its side of | whole  |
      | all of no framing    | read the request  | closes             | closed |
