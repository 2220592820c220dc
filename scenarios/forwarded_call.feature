Feature: a refusal that says "not run" is true, and an answer is whole

  Scenario: [point 7: request in a socket buffer] a late arrival finds its fence
    Given a call that is not idempotent is handed over
    When the connection of try 1 breaks
    And the question is answered
    And try 1 arrives
    And try 1 gets a slot
    And try 2 arrives
    And try 2 gets a slot
    And try 2 is answered by its backend server
    And the reply to try 2 comes back
    Then the backend servers ran it 1 time
    And the caller was told "answered"

  Scenario: [point 7: request in a frozen process] no sign and no answer to the question, and the process wakes later
    Given a call that is not idempotent is handed over
    When 600 ms pass
    And the question is not answered
    Then the caller was told "unknown"
    When try 1 arrives
    And try 1 gets a slot
    Then the backend servers ran it 1 time

  Scenario: [point 7: request in a frozen process] one that wakes after the deadline does not run the call
    Given a call that is not idempotent is handed over
    When 600 ms pass
    And the question is not answered
    And 4000 ms pass
    And try 1 arrives
    And try 1 gets a slot
    Then the backend servers ran it 0 times
    And the caller was told "unknown"

  Scenario: [point 7: contact lost after hand-over] a try that runs is waited for, not refused
    Given a call that is not idempotent is handed over
    When try 1 arrives
    And try 1 gets a slot
    And the connection of try 1 breaks
    And the question is answered
    And 100 ms pass
    Then the caller was told nothing
    And the backend servers ran it 1 time

  Scenario: [point 7: contact lost after hand-over] an idempotent call that may have run is never refused as not run
    Given an idempotent call is handed over
    When try 1 arrives
    And try 1 gets a slot
    And the connection of try 1 breaks
    And 4000 ms pass
    Then the caller was told "unknown"

  Scenario: [point 6: answer cut] a cut answer is an unknown outcome, and is not tried again
    Given a call that is not idempotent is handed over
    When try 1 arrives
    And try 1 gets a slot
    And the answer to try 1 is cut
    And the reply to try 1 comes back
    Then the caller was told "unknown"
    And the backend servers ran it 1 time

  Scenario: [point 6: answer after its caller left] nobody is told anything after the caller left
    Given a call that is not idempotent is handed over
    When try 1 arrives
    And try 1 gets a slot
    And the caller leaves
    And try 1 is answered by its backend server
    And the reply to try 1 comes back
    Then the caller was told "abandoned"
