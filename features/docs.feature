Feature: the pages say what is so

  Scenario: each link in the docs leads somewhere
    Then each link in the docs leads to a file and a heading that exist

  Scenario: each command in the docs is one that the program takes
    A reader copies a command from a page and gets a usage error, since an
    option was renamed after the page was written.
    Then the docs hold commands, and each is one that the program takes

  Scenario: each event number in the docs is in the catalogue
    Then each event number named in the docs is in the catalogue

  Scenario: the docs list exactly the events of the code
    Then the events page of the docs is the one that the code gives

  Scenario: the docs give the capacity that the measurements give
    Then the capacity page of the docs is the one that its data give

  Scenario: the docs list exactly the settings of the daemon
    Then the settings table of the docs is the one that the parser gives

  Scenario: no page of the docs names a path of some machine
    Then no page of the docs names a path of some machine

  Scenario Outline: a wrong line in the docs is noticed
    The checks above hold for nothing if they take every page for right.
    Given a docs page with the line "<line>"
    Then the docs check "<check>" finds it

    Examples:
      | line                                      | check    |
      | See [this](missing.md).                   | links    |
      | See [this](README.md#no-such-heading).    | links    |
      | [No such](features/docs.feature) does it. | links    |
      | CODE pollenstile call --no-such-option    | commands |
      | CODE make nonsense                        | commands |
      | Event 1999 means trouble.                 | events   |
      | Look into /home/somebody/pollenstile.     | paths    |
