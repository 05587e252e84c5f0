Feature: live soak: hosts that take malformed answers are noticed

  Scenario: A host that reads answers less strictly is noticed
    Its parser takes status 000 and answers of nobody, and callers get them.
    When live soaks run without the guard "strict heads"
    Then a live soak reported: "malformed "
