Feature: no node reverts to an older version, and no version is applied in part

  Scenario: [point 1: restart with the platform stale] one node restarts while the platform returns the previous version
    Given twelve nodes in three zones with version 1 in force
    When version 2 is published
    And 5000 ms pass
    And the platform returns version 1 from now on
    And the nodes "vm-3" restart
    And 15000 ms pass
    Then version 2 is in force everywhere
    And no VM ever reverted to an older version

  Scenario: [point 1: restart with the platform stale] all nodes but one restart at the same time while the platform is stale
    Given twelve nodes in three zones with version 1 in force
    When version 2 is published
    And 5000 ms pass
    And the platform returns version 1 from now on
    And the nodes "all but vm-6" restart
    And 20000 ms pass
    Then version 2 is in force everywhere
    And no VM ever reverted to an older version

  Scenario: [point 1: restart with no peer answering] a node that can reach only a stale platform puts no version in force
    Given twelve nodes in three zones with version 1 in force
    When version 2 is published
    And 5000 ms pass
    And the platform returns version 1 from now on
    And a network partition isolates "vm-4"
    And the nodes "vm-4" restart
    And 60000 ms pass
    Then no version is in force on "vm-4"
    When the network partition heals
    And 30000 ms pass
    Then version 2 is in force everywhere
    And no VM ever reverted to an older version

  Scenario: [point 1: restart with no peer answering] the reader that put a version in force restarts before it has sent the version to a peer
    Given twelve nodes in three zones with version 1 in force
    When a network partition isolates "vm-1"
    And version 2 is published
    And 15000 ms pass
    And the platform returns version 1 from now on
    And the network partition heals
    And the nodes "vm-1" restart
    And 30000 ms pass
    Then no VM ever reverted to an older version
    And the same contents are in force everywhere

  Scenario: [point 1: restart with no peer answering] the only reader restarts while the version is on its way to the other nodes
    Given twelve nodes in three zones with version 1 in force
    When only one reader can reach the platform
    And messages are delayed by 100 to 100 ms and some are duplicated
    And version 2 is published
    And 60 ms pass
    And the platform returns version 1 from now on
    And the nodes "the reader" restart
    And 30000 ms pass
    Then no VM ever reverted to an older version
    And the same contents are in force everywhere

  Scenario: [point 1: restart with no peer answering] the only reader that can reach the platform restarts, and its peers never received the version
    Given twelve nodes in three zones with version 1 in force
    When only one reader can reach the platform
    And a network partition isolates "the reader"
    And version 2 is published
    And 15000 ms pass
    And the network partition heals
    And the nodes "the reader" restart
    And 30000 ms pass
    Then no VM ever reverted to an older version
    And version 2 is in force everywhere

  Scenario: [point 1: restart with no peer answering] a reader alone with the platform dies while it is down, and meets peers that never heard of the version
    Given twelve nodes in three zones with version 1 in force
    When only one reader can reach the platform
    And a network partition isolates "the reader"
    And version 2 is published
    And 15000 ms pass
    And the platform goes down
    And the network partition heals
    And the nodes "the reader" restart
    And 5000 ms pass
    And the platform recovers
    And 30000 ms pass
    Then no VM ever reverted to an older version
    And version 2 is in force everywhere

  Scenario: [point 1: platform answers crossed] the platform alternates between versions
    Given twelve nodes in three zones with version 1 in force
    When version 2 is published
    And 300 ms pass
    And the platform returns version 1 from now on
    And 300 ms pass
    And version 3 is published
    And 300 ms pass
    And the platform returns version 2 from now on
    And 15000 ms pass
    Then version 3 is in force everywhere
    And no VM ever reverted to an older version

  Scenario: [point 1: updates out of order and twice] messages are reordered while versions follow in quick succession
    Given twelve nodes in three zones with version 1 in force
    When messages are delayed by 1 to 1200 ms and some are duplicated
    And version 2 is published
    And 100 ms pass
    And version 3 is published
    And 100 ms pass
    And version 4 is published
    And 11000 ms pass
    Then version 4 is in force everywhere
    And no VM ever reverted to an older version

  Scenario: [point 1: process paused and woken late] a node that received no messages confirms its view
    Given twelve nodes in three zones with version 1 in force
    When messages from and to "vm-5" are lost
    And version 2 is published
    And 9000 ms pass
    And the platform goes down
    And messages are delivered again
    And the nodes "vm-5" confirm their view
    Then version 2 is in force everywhere
    And no VM ever reverted to an older version

  Scenario: [point 1: same number with other contents] two operators publish at the same time
    Given twelve nodes in three zones with version 1 in force
    When version 2 is published
    And 1 ms pass
    And version 2 is published with different contents
    And 20000 ms pass
    Then the same contents are in force everywhere
    And no VM ever reverted to an older version

  Scenario: [point 1: same number with other contents] the second contents are published after the first are in force everywhere
    Given twelve nodes in three zones with version 1 in force
    When version 2 is published
    And 10000 ms pass
    And version 2 is published with different contents
    And 20000 ms pass
    Then the same contents are in force everywhere
    And no VM ever reverted to an older version
    And the audit trail of "the readers" contains "configuration-conflict"

  Scenario: [point 1: partition with both sides publishing] each side reads different contents under the same number
    Given twelve nodes in three zones with version 1 in force
    When a network partition isolates "vm-1, vm-2, vm-3, vm-4, vm-5, vm-6"
    And version 2 is published
    And 20000 ms pass
    And version 2 is published with different contents
    And 20000 ms pass
    And the network partition heals
    And 20000 ms pass
    Then the same contents are in force everywhere
    And no VM ever reverted to an older version

  Scenario: [point 2: register names what is not there] a route to an unknown service is refused by every node
    Given twelve nodes in three zones with version 1 in force
    When version 2 is published with a route to an unknown service
    And 11000 ms pass
    Then version 1 is in force everywhere
    And version 2 was never in force
    And every route of every node leads to a backend server
    And the audit trail of "all" contains "configuration-refused"

  Scenario: [point 2: resources come and go under load] services are added and removed with every version
    Given twelve nodes in three zones with version 1 in force
    When messages are delayed by 1 to 600 ms and some are duplicated
    And version 2 is published with 1 service
    And 200 ms pass
    And version 3 is published with 3 services
    And 200 ms pass
    And version 4 is published with 2 services
    And 11000 ms pass
    Then version 4 is in force everywhere
    And every route of every node leads to a backend server

  Scenario: [point 3: refused version followed by a good one] the good version comes into force
    Given twelve nodes in three zones with version 1 in force
    When version 2 is published with a route to an unknown service
    And 3000 ms pass
    And version 3 is published
    And 11000 ms pass
    Then version 3 is in force everywhere
    And version 2 was never in force

  Scenario: [point 3: refused version followed by a good one] a node that restarts does not apply the refused version
    Given twelve nodes in three zones with version 1 in force
    When version 2 is published with a route to an unknown service
    And 3000 ms pass
    And the nodes "vm-1, vm-4" restart
    And 15000 ms pass
    Then version 1 is in force everywhere
    And version 2 was never in force

  Scenario: [point 3: parts missing] a version whose parts are missing is not applied
    Given twelve nodes in three zones with version 1 in force
    When the nodes "all" return no parts
    And only one reader can reach the platform
    And version 2 is published with 3 services
    And 300 ms pass
    And the platform goes down
    And 11000 ms pass
    Then every route of every node leads to a backend server
    And no VM ever reverted to an older version

  Scenario: [point 3: parts missing] requests for parts are lost for a time
    Given twelve nodes in three zones with version 1 in force
    When every request for parts is lost
    And version 2 is published with 3 services
    And 9000 ms pass
    And messages are delivered again
    And 11000 ms pass
    Then version 2 is in force everywhere
    And every route of every node leads to a backend server

  Scenario: [point 3: one part corrupt] corrupt parts from some peers are refused, and the version is read from others
    Given twelve nodes in three zones with version 1 in force
    When the nodes "vm-1, vm-2, vm-3, vm-7" return corrupt parts
    And version 2 is published with 3 services
    And 15000 ms pass
    Then version 2 is in force everywhere
    And the same contents are in force everywhere
    And every route of every node leads to a backend server

  Scenario: [point 3: one part corrupt] no node returns an intact part
    Given twelve nodes in three zones with version 1 in force
    When the nodes "all" return corrupt parts
    And only one reader can reach the platform
    And version 2 is published with 3 services
    And 15000 ms pass
    Then every route of every node leads to a backend server
    And only one set of contents of version 2 was in force

  Scenario: [point 3: node killed half way] nodes restart while a version is being distributed
    Given twelve nodes in three zones with version 1 in force
    When messages are delayed by 50 to 400 ms and some are duplicated
    And version 2 is published with 3 services
    And 150 ms pass
    And the nodes "vm-2, vm-3, vm-6" restart
    And 25000 ms pass
    Then version 2 is in force everywhere
    And the same contents are in force everywhere
    And no VM ever reverted to an older version
