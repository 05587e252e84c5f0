Feature: how old what a host acts on may get

  Scenario: Hosts whose readers the store turns away learn of a change in time
    A key that was taken away was still served after three seconds.
    When "readers refused" comes over a domain of 30 hosts
    Then each host in touch with the store had each change within 3.0 seconds
