Feature: a zone taken out and a leaving backend server receive no new calls

  Scenario: [point 5: queued calls] calls that are queued when the zone is taken out are refused, not run
    Given a node beside a warm backend server
    And every call has a service time of 500 ms
    When 16 calls arrive at the same time
    And a version that takes the zone out is applied
    And 1 ms pass
    And 100 calls arrive over 4000 ms
    Then no call started to run in the last 4000 ms
    And every call that did not run was shed or refused for one of "zone-taken-out, full, cold-start"

  Scenario: [point 5: queued calls] a backend server in a zone that returns is treated as in cold start
    Given a node beside a warm backend server
    When a version that takes the zone out is applied
    And 60000 ms pass
    And the backend server returns to cold start without notice
    And a version that returns the zone is applied
    And 200 calls arrive at the same time
    And 3000 calls arrive over 20000 ms
    Then the backend server never received more calls than its capacity
    And at least 2500 calls ran

  Scenario: [point 9: queued calls] calls that are queued when the backend server is marked as leaving are refused, not run
    Given a node beside a warm backend server
    And every call has a service time of 500 ms
    When 16 calls arrive at the same time
    And a version that marks the backend server as leaving is applied
    And 1 ms pass
    And 100 calls arrive over 4000 ms
    Then no call started to run in the last 4000 ms
    And every call that did not run was shed or refused for one of "backend-server-leaving, full, cold-start"

  Scenario: [point 9: backend server drains] a backend server that reports draining receives no new calls
    Given a node beside a warm backend server
    When the backend server starts to drain
    And 500 calls arrive over 5000 ms
    Then no call started to run in the last 3000 ms
    And every call that did not run was shed or refused for one of "backend-server-draining, full, cold-start"
