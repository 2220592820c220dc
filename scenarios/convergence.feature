Feature: an accepted configuration is in force everywhere within seconds and is never reverted

  Scenario: [point 11: reader killed] half of the nodes are killed right after the publication
    Given twelve nodes in three zones with version 1 in force
    When version 2 is published
    And 50 ms pass
    And the nodes "vm-1, vm-2, vm-3, vm-4, vm-5, vm-6" are killed
    And 11000 ms pass
    Then version 2 is in force on "vm-7, vm-8, vm-9, vm-10, vm-11, vm-12"

  Scenario: [point 11: reader killed] the only reader that can reach the platform is killed once two peers have the version
    Given twelve nodes in three zones with version 1 in force
    When only one reader can reach the platform
    And version 2 is published
    And 60 ms pass
    And the nodes "the reader" are killed
    And the platform goes down
    And 11000 ms pass
    Then version 2 is in force on "all but the reader"

  Scenario: [point 11: platform down right after publishing] the platform goes down after one reader has read the version
    Given twelve nodes in three zones with version 1 in force
    When only one reader can reach the platform
    And version 2 is published
    And 10 ms pass
    And the platform goes down
    And 11000 ms pass
    Then version 2 is in force everywhere

  Scenario: [point 11: partition healing] the side without a reader of the new version receives it when the network partition heals
    Given twelve nodes in three zones with version 1 in force
    When messages from and to "vm-2, vm-5" are lost
    And version 2 is published
    And 100 ms pass
    And the platform goes down
    And 30000 ms pass
    And messages are delivered again
    And 11000 ms pass
    Then version 2 is in force everywhere
    And no VM ever reverted to an older version

  Scenario: [point 11: herd of nodes killed and reconnecting] all nodes but one restart at the same time
    Given twelve nodes in three zones with version 1 in force
    When the nodes "all but vm-6" restart
    And version 2 is published
    And 11000 ms pass
    Then version 2 is in force everywhere
    And no VM ever reverted to an older version

  Scenario: [point 11: herd of nodes killed and reconnecting] the whole fleet restarts at the same time while the platform is down for a minute
    Given twelve nodes in three zones with version 1 in force
    When the platform goes down
    And the nodes "all" restart
    And 60000 ms pass
    And the platform recovers
    And 45000 ms pass
    Then version 1 is in force everywhere

  Scenario: [point 11: connection gone silent] the messages of two nodes are lost
    Given twelve nodes in three zones with version 1 in force
    When messages from and to "vm-1, vm-4" are lost
    And version 2 is published
    And 11000 ms pass
    Then version 2 is in force everywhere

  Scenario: [point 11: herd of nodes killed and reconnecting] a fleet starts for the first time while one VM of the list is down
    Given twelve nodes in three zones that have not started
    When version 1 is published
    And the nodes "all but vm-12" start
    And 60000 ms pass
    Then version 1 is in force on "all but vm-12"
