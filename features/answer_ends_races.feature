Feature: Closes that come before, beside or after what the host knows of a process

  Scenario Outline: An answer without a length arrives from an upstream that keeps <limit>
    Guards against a whole answer that is cut off, as a witness was turned away.
    When an upstream that keeps <limit> ends its answer in order
    Then each kind of caller has the whole answer

    Examples:
      | limit                      |
      | one connection             |
      | idle connections for 50 ms |

  Scenario Outline: A part of an answer is complete for no caller: its upstream <how>
    Guards against a process that passes for the one that answered.
    When an upstream <how>, in the middle of an answer without upload
    Then no kind of caller has an answer that is complete

    Examples:
      | how                                                       |
      | kept one connection, is killed and replaced               |
      | kept idle connections for 50 ms, is killed and replaced   |
      | is the worker of a process that listens on, and is killed |

  Scenario: A part of an answer is complete for no caller while a report is awaited
    Guards against a close that counts as one of the time after a report.
    When an upstream of a stated start is killed, and its successor sends nothing in the middle of an answer
    Then no kind of caller has an answer that is complete

  Scenario: A part of an answer is complete for no caller that reads late
    Guards against a close that counts as one of the time at which it is read.
    When callers read nothing while their upstream is killed and replaced
    Then no late caller has an answer that is complete

  Scenario Outline: Streams that share a witness end with their process: <others> other connections
    Guards against a witness that the system closes after an answer's connection.
    When an upstream of 8 streams and <others> pairs of other connections is killed 5 times
    Then none of the streams is complete

    Examples:
      | others |
      | 0      |
      | 400    |
