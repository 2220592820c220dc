Feature: a backend server in cold start receives no more than it can bear

  Scenario: [point 4: many nodes sending at once] a burst and then far more than it can bear
    Given a node beside a backend server in cold start
    And every call runs 200 ms
    When 200 calls arrive at once
    And 3000 calls arrive over 20000 ms
    Then the backend server was never given more than it could bear
    And the backend server did not fall over
    And at least 800 calls ran

  Scenario: [point 4: health endpoint lying] it says ready while it is cold
    Given the health endpoint says "ready" from now on
    And a node beside a backend server in cold start
    And every call runs 200 ms
    When 200 calls arrive at once
    And 3000 calls arrive over 20000 ms
    Then the backend server was never given more than it could bear
    And the backend server did not fall over

  Scenario: [point 4: relapse no one announced] a warm one is cold of a sudden while the health endpoint lies
    Given the health endpoint says "ready" from now on
    And a node beside a warm backend server
    And every call runs 200 ms
    When the backend server falls back into cold start unannounced
    And 3000 calls arrive over 20000 ms
    Then the backend server was given at most 12 calls too many
    And the backend server did not fall over

  Scenario: [point 4: relapse no one announced] a relapse in the middle of a burst
    Given a node beside a warm backend server
    And every call runs 200 ms
    When 200 calls arrive at once
    And the backend server falls back into cold start unannounced
    And 200 calls arrive at once
    And 3000 calls arrive over 20000 ms
    Then the backend server was given at most 12 calls too many
    And the backend server did not fall over
