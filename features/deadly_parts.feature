Feature: deadly parts: prompt parts that crash the upstreams that answer on them

  Scenario Outline: A part that crashes upstreams is kept from them: <part> of <parts>, <deadly> a second, <hosts> hosts
    No two requests are alike but for this part, so no whole request is met twice.
    Given callers of <hosts> hosts in <domains> failure domains, <sound> sound requests a second
    And <deadly> requests a second hold a part that crashes upstreams, the <part> of <parts>
    When they arrive for <seconds> seconds, by seed <seed>
    Then at most 3 requests with it arrive later than 3 s after its fifth crash
    And sound requests are served at the first try as before
    And no sound request is refused for crashing upstreams

    Examples:
      | hosts | domains | sound | deadly | part   | parts | seconds | seed |
      | 9     | 4       | 12    | 2      | second | 3     | 16      | 1    |
      | 9     | 4       | 12    | 2      | first  | 2     | 16      | 1    |
      | 30    | 3       | 30    | 6      | third  | 4     | 12      | 1    |
