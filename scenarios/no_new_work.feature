Feature: a zone taken out and a leaving backend server receive no new work

  Scenario: [point 5: queued calls] calls that waited when the zone left are refused, not run
    Given a node beside a warm backend server
    And every call runs 500 ms
    When 16 calls arrive at once
    And a version arrives that takes the zone out
    And 1 ms pass
    And 100 calls arrive over 4000 ms
    Then no call began to run in the last 4000 ms
    And every call that did not run was refused for one of "zone-taken-out, full, cold-start"

  Scenario: [point 5: queued calls] a zone that returns starts as after a cold start
    Given a node beside a warm backend server
    When a version arrives that takes the zone out
    And 60000 ms pass
    And the backend server falls back into cold start unannounced
    And a version arrives that returns the zone
    And 200 calls arrive at once
    And 3000 calls arrive over 20000 ms
    Then the backend server was never given more than it could bear
    And at least 2500 calls ran

  Scenario: [point 9: queued calls] calls that waited when it was marked as leaving are refused, not run
    Given a node beside a warm backend server
    And every call runs 500 ms
    When 16 calls arrive at once
    And a version arrives that marks the backend server as leaving
    And 1 ms pass
    And 100 calls arrive over 4000 ms
    Then no call began to run in the last 4000 ms
    And every call that did not run was refused for one of "backend-server-leaving, full, cold-start"

  Scenario: [point 9: backend server drains] one that says it drains receives nothing new
    Given a node beside a warm backend server
    When the backend server begins to drain
    And 500 calls arrive over 5000 ms
    Then no call began to run in the last 3000 ms
    And every call that did not run was refused for one of "backend-server-draining, full, cold-start"
