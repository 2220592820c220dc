Feature: a backend server in cold start receives no more calls than its capacity

  Scenario: [point 4: many nodes sending at once] a burst of calls is followed by a load far above the capacity
    Given a node beside a backend server in cold start
    And every call has a service time of 200 ms
    When 200 calls arrive at the same time
    And 3000 calls arrive over 20000 ms
    Then the backend server never received more calls than its capacity
    And the backend server did not collapse under overload
    And at least 800 calls ran

  Scenario: [point 4: health endpoint lying] the health endpoint reports ready during cold start
    Given the health endpoint reports "ready" from now on
    And a node beside a backend server in cold start
    And every call has a service time of 200 ms
    When 200 calls arrive at the same time
    And 3000 calls arrive over 20000 ms
    Then the backend server never received more calls than its capacity
    And the backend server did not collapse under overload

  Scenario: [point 4: relapse no one announced] a warm backend server returns to cold start while the health endpoint reports ready
    Given the health endpoint reports "ready" from now on
    And a node beside a warm backend server
    And every call has a service time of 200 ms
    When the backend server returns to cold start without notice
    And 3000 calls arrive over 20000 ms
    Then the backend server received at most 12 calls above its capacity
    And the backend server did not collapse under overload

  Scenario: [point 4: relapse no one announced] a backend server returns to cold start during a burst
    Given a node beside a warm backend server
    And every call has a service time of 200 ms
    When 200 calls arrive at the same time
    And the backend server returns to cold start without notice
    And 200 calls arrive at the same time
    And 3000 calls arrive over 20000 ms
    Then the backend server received at most 12 calls above its capacity
    And the backend server did not collapse under overload
