Feature: The users' platform from end to end, on separate processes

  Scenario: Jobs are submitted, queried, counted and cancelled at any node
    Given a site of four nodes, three with a disk
    When a "GET" for "/orders/" is sent to node 3
    Then the site answers with status 503
    And the response says when to retry
    Given a configuration with one queue
    When job 1 of 4 tasks is submitted to node 3
    Then the site answers with status 200
    When job 1 of 4 tasks is submitted to node 0
    Then the site answers with status 200
    And every job is eventually completed
    When a "GET" for "/orders/" is sent to node 1
    Then the site answers with status 200
    When a "GET" for "/orders/00000000000000ff" is sent to node 2
    Then the site answers with status 410
    When a "GET" for "/unknown/" is sent to node 2
    Then the site answers with status 404
    When the key "nobody" is used in a "GET" for "/orders/" at node 3
    Then the site answers with status 401
    When a malformed job is submitted to node 1
    Then the site answers with status 400
    When job 2 of 500 tasks is submitted to node 2
    And a "DELETE" for "/orders/0000000000000002" is sent to node 0
    Then the site answers with status 200
    And job 2 is eventually "cancelled"
    And no task ran twice

  Scenario: Malformed heartbeats and configurations
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    When a heartbeat without a start time is sent to node 3
    Then the site answers with status 400
    And a log line says why the heartbeat was rejected
    When a heartbeat of 5 MB is sent to node 3
    Then the site answers with status 413
    When configuration 7 is submitted
    And configuration 3 is submitted
    And the configuration is read at node 3
    Then the site answers with status 200
    And its version is 7

  Scenario: Accepted jobs survive the loss of the leader, and of all nodes at once
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    When 6 jobs of 2 steps are submitted to all nodes
    And the leading node is killed
    Then every job is eventually completed
    When that node starts again
    And 3 jobs of 2 steps are submitted to all nodes
    And all nodes are killed at once and start again
    Then every job is eventually completed
    And no task ran twice

  Scenario: Planned stops and hang-up signals lose no jobs
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    When 6 jobs of 2 steps are submitted to all nodes
    And node 1 gets a hang-up signal
    And every node is stopped in turn and starts again
    Then every job is eventually completed
    And no task ran twice

  Scenario: A hang-up signal during a start does not end the node
    When a node's program comes to the first of its own modules
    Then it ignores hang-up signals

  Scenario: Steps of a queue with an advisor run only on workers that it allows
    Given a site of four nodes with an advisor that allows only "9000,9002"
    And a configuration with one queue
    When 2 jobs of 2 steps are submitted to all nodes
    Then every job is eventually completed
    And only "9000,9002" have started tasks
    And the advisor was asked about each step, at the path of the protocol
    And no task ran twice
