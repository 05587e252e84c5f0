Feature: a page of a host is served without resources

  Scenario Outline: A request for a page: <request>
    Guards against a probe that is answered wrongly or holds its connection.
    Given a page that answers "up" and fails for the path "/fail"
    When its connection receives <request>
    Then the answer has the status <status> and the body "<body>"
    And the connection of the page is <state>

    Examples:
      | request               | status | body | state  |
      | a GET                 | 200    | up   | open   |
      | a GET of another path | 200    | up   | open   |
      | a HEAD                | 200    |      | open   |
      | a POST with a body    | 200    | up   | open   |
      | a GET that fails      | 500    |      | open   |
      | a GET that closes     | 200    | up   | closed |
      | too large a body      | 413    | *    | closed |
