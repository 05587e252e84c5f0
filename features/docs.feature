Feature: the documentation agrees with the code

  Scenario: each link in the docs has an existing target
    Then each link in the docs has an existing file and heading as its target

  Scenario: the program accepts each command in the docs
    If an option is renamed after a page was written, a command copied from the
    page fails with a usage error.
    Then the docs contain commands, and the program accepts each of them

  Scenario: each event number in the docs is in the catalogue
    Then each event number in the docs is in the catalogue

  Scenario: the docs list exactly the events of the code
    Then the events page of the docs equals the one generated from the code

  Scenario: the capacity page agrees with the measurements
    Then the capacity page of the docs equals the one generated from its data

  Scenario: the docs list exactly the settings of the daemon
    Then the settings table of the docs equals the one generated from the code

  Scenario: no page of the docs contains a path of a specific machine
    Then no page of the docs contains a path of a specific machine

  Scenario Outline: the docs checks report a wrong line
    The checks above would prove nothing if they accepted every page.
    Given a docs page with the line "<line>"
    Then the docs check "<check>" reports the line

    Examples:
      | line                                      | check    |
      | See [this](missing.md).                   | links    |
      | See [this](README.md#no-such-heading).    | links    |
      | [No such](features/docs.feature) does it. | links    |
      | CODE pollenstile call --no-such-option    | commands |
      | CODE make nonsense                        | commands |
      | Event 1999 means trouble.                 | events   |
      | Look into /home/somebody/pollenstile.     | paths    |
