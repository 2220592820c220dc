Feature: a call with an idempotency key runs at most once across all ledgers of its service

  Scenario: [point 8: repeats through other nodes] a repeated call receives the answer of the first run
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the first ledger
    And the run at the first ledger ends with a complete answer
    And an attempt arrives at the first ledger
    Then the key ran 1 time
    And the outcome of attempt 2 was "answered"

  Scenario: [point 8: repeats through other nodes] a call that is repeated while the first attempt runs waits for its answer
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the first ledger
    And an attempt arrives at the first ledger
    And an attempt arrives at the first ledger
    And the run at the first ledger ends with a complete answer
    Then the key ran 1 time
    And the outcome of attempt 2 was "answered"
    And the outcome of attempt 3 was "answered"

  Scenario: [point 8: repeats through other nodes] a repeated call that waits for a run without a complete answer is not run
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the first ledger
    And an attempt arrives at the first ledger
    And the run at the first ledger ends without a complete answer
    And an attempt arrives at the first ledger
    Then the key ran 1 time
    And the outcome of attempt 2 was "key-unsettled"
    And the outcome of attempt 3 was "key-unsettled"

  Scenario: [point 8: tries by the mesh] a run without a complete answer is not retried
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the first ledger
    And the run at the first ledger ends without a complete answer
    And an attempt arrives at the first ledger
    And an attempt arrives at the second ledger
    And every message is delivered
    Then the key ran 1 time
    And the outcome of attempt 2 was "key-unsettled"
    And the outcome of attempt 3 was "key-unsettled"

  Scenario: [point 8: owner change in a zone leaving] the new owner receives the answer from the former owner
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the first ledger
    And the run at the first ledger ends with a complete answer
    And an attempt arrives at the second ledger
    And every message is delivered
    Then the key ran 1 time
    And the outcome of attempt 2 was "answered"

  Scenario: [point 8: owner change in a zone leaving] a call is refused while its key is running at the former owner, and then receives the answer
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the first ledger
    And an attempt arrives at the third ledger
    And every message is delivered
    And the run at the first ledger ends with a complete answer
    And an attempt arrives at the third ledger
    And every message is delivered
    Then the key ran 1 time
    And the outcome of attempt 2 was "key-running"
    And the outcome of attempt 3 was "answered"

  Scenario: [point 8: owner change in a zone leaving] nodes that disagree about the owner query each other for the key
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the second ledger
    And an attempt arrives at the third ledger
    And every message is delivered
    And an attempt arrives at the first ledger
    And every message is delivered
    Then the key ran 1 time

  Scenario: [point 8: owner change in a zone leaving] a fenced former owner does not run a first attempt that arrives late
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the second ledger
    And every message is delivered
    And the run at the second ledger ends with a complete answer
    And an attempt arrives at the first ledger
    And every message is delivered
    Then the key ran 1 time
    And the outcome of attempt 2 was "answered"

  Scenario: [point 8: owner dead] a key that a dead owner may have run is not run by the next owner
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the first ledger
    And the node of the first ledger is killed
    And an attempt arrives at the second ledger
    And every message is delivered
    Then the key ran 1 time
    And the outcome of attempt 2 was "key-unsettled"

  Scenario: [point 8: owner dead] an owner that restarts with an empty ledger does not run an older key
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the first ledger
    And the node of the first ledger restarts
    And 5000 ms pass
    And an attempt arrives at the first ledger
    And an attempt arrives at the second ledger
    And every message is delivered
    Then the key ran 1 time
    And the outcome of attempt 2 was "key-unsettled"
    And the outcome of attempt 3 was "key-unsettled"

  Scenario: [point 8: owner dead] a young ledger refuses a call without the time of its first attempt
    Given a caller that does not send the time of its first attempt
    And three ledgers that are 60000 ms old
    When an attempt arrives at the first ledger
    Then the key ran 0 times
    And the outcome of attempt 1 was "key-unsettled"

  Scenario: [point 8: owner dead] a VM that was removed before the first attempt does not block the key
    Given three ledgers that are 60000 ms old
    When the node of the first ledger is killed
    And the VM of the first ledger is removed from the list of VMs
    And 60000 ms pass
    And an attempt arrives at the second ledger
    And every message is delivered
    Then the key ran 1 time

  Scenario: [point 8: owner dead] a VM that was removed after the first attempt blocks the key
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the first ledger
    And the node of the first ledger is killed
    And 3000 ms pass
    And the VM of the first ledger is removed from the list of VMs
    And 60000 ms pass
    And an attempt arrives at the second ledger
    And every message is delivered
    Then the key ran 1 time
    And the outcome of attempt 2 was "key-unsettled"

  Scenario: [point 8: owner change in a zone leaving] duplicated or lost queries and replies do not run a key twice
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the third ledger
    And the next message is delivered twice
    And the next message is delivered twice
    And every message is lost
    And an attempt arrives at the second ledger
    And every message is delivered
    And an attempt arrives at the first ledger
    And every message is delivered
    Then the key ran 1 time
    And the outcome of attempt 1 was "key-unsettled"

  Scenario: [point 8: owner dead] [point 8: repeats through other nodes] a first attempt that is still being settled is not run after the repeated call ran at an owner that died
    Given three ledgers that are 60000 ms old
    When an attempt arrives at the second ledger
    And an attempt arrives at the first ledger
    And the node of the first ledger is killed
    And every message is delivered
    Then the key ran 1 time
