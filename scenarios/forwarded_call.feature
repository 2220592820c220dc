Feature: a refusal that says "not run" is true, and an answer is complete

  Scenario: [point 7: request in a socket buffer] an attempt that arrives after the outcome query is fenced
    Given a call that is not idempotent is forwarded
    When the connection of attempt 1 breaks
    And the outcome query is answered
    And attempt 1 arrives
    And attempt 1 is admitted
    And attempt 2 arrives
    And attempt 2 is admitted
    And attempt 2 is answered by its backend server
    And the reply to attempt 2 is received
    Then the backend servers ran the call 1 time
    And the outcome for the caller was "answered"

  Scenario: [point 7: request in a frozen process] a frozen process sends no interim response, does not answer the outcome query, and resumes later
    Given a call that is not idempotent is forwarded
    When 600 ms pass
    And the outcome query is not answered
    Then the outcome for the caller was "unknown"
    When attempt 1 arrives
    And attempt 1 is admitted
    Then the backend servers ran the call 1 time

  Scenario: [point 7: request in a frozen process] a process that resumes after the deadline does not run the call
    Given a call that is not idempotent is forwarded
    When 600 ms pass
    And the outcome query is not answered
    And 4000 ms pass
    And attempt 1 arrives
    And attempt 1 is admitted
    Then the backend servers ran the call 0 times
    And the outcome for the caller was "unknown"

  Scenario: [point 7: contact lost after hand-over] a running attempt is awaited, not refused
    Given a call that is not idempotent is forwarded
    When attempt 1 arrives
    And attempt 1 is admitted
    And the connection of attempt 1 breaks
    And the outcome query is answered
    And 100 ms pass
    Then there was no outcome for the caller
    And the backend servers ran the call 1 time

  Scenario: [point 7: contact lost after hand-over] an idempotent call that may have run is never refused as not run
    Given an idempotent call is forwarded
    When attempt 1 arrives
    And attempt 1 is admitted
    And the connection of attempt 1 breaks
    And 4000 ms pass
    Then the outcome for the caller was "unknown"

  Scenario: [point 6: answer cut] a truncated answer is an unknown outcome and is not retried
    Given a call that is not idempotent is forwarded
    When attempt 1 arrives
    And attempt 1 is admitted
    And the answer to attempt 1 is truncated
    And the reply to attempt 1 is received
    Then the outcome for the caller was "unknown"
    And the backend servers ran the call 1 time

  Scenario: [point 6: answer after its caller left] the caller receives nothing after it has disconnected
    Given a call that is not idempotent is forwarded
    When attempt 1 arrives
    And attempt 1 is admitted
    And the caller disconnects
    And attempt 1 is answered by its backend server
    And the reply to attempt 1 is received
    Then the outcome for the caller was "abandoned"
