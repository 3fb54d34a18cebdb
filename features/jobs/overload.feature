Feature: Work that exceeds the capacity of its pool for some seconds

  Scenario: Jobs that cannot meet their objective do not make the others late
    # Three times the work that the service can complete arrives for 8 s.
    Given a simulation of 4 workers without faults
    When 48 jobs of 2 steps of 8 tasks of 2 cores and 1000 ms arrive within 8000 ms
    And the simulation runs for 40000 ms
    Then at least 20 of the jobs completed within their objective
    And no guarantee was violated

  Scenario: Deferred jobs are completed once capacity is left
    Given a simulation of 4 workers without faults
    When 48 jobs of 2 steps of 8 tasks of 2 cores and 1000 ms arrive within 8000 ms
    And the simulation runs for 40000 ms
    Then every admitted job completed

  Scenario: Nothing is deferred while every job can meet its objective
    Given open jobs of a service of 100 cores
      | job | slack_ms | core_s | chain_ms |
      | a   | 9000     | 300    | 3400     |
      | b   | 9500     | 300    | 3400     |
    Then no job is deferred

  Scenario: A job is deferred if it would end too late behind those with less slack
    Given open jobs of a service of 100 cores
      | job | slack_ms | core_s | chain_ms |
      | a   | 5000     | 300    | 3400     |
      | b   | 6000     | 300    | 3400     |
      | c   | 9000     | 300    | 3400     |
    Then the deferred jobs are "b"

  Scenario: A job that has begun is not deferred because of one that has not
    Given open jobs of a service of 100 cores
      | job | slack_ms | core_s | chain_ms | begun |
      | a   | 5000     | 300    | 3400     | no    |
      | b   | 5500     | 300    | 1700     | yes   |
    Then the deferred jobs are "a"

  Scenario: A pool whose peak is over hands instances to the next one's backlog
    # The large Hollybrook site, second 18: the coaches' pool holds 34 of 57
    # instances for its backlog; the packhouse's peak meets 9.
    Given pools
      | pool      | ready_s | members | needed | empty | idle_ms | open_s | ready |
      | coaches   | 6000    | 34      | 6      |       |         | 9000   | 4000  |
      | packhouse | 6000    | 9       | 6      |       |         | 9000   | 4000  |
    Then instances are handed over from "coaches" to "packhouse"
    And the backlogs then differ by a factor of at most 1.6

  Scenario: No instance is handed over while the backlogs are similar
    Given pools
      | pool      | ready_s | members | needed | empty | idle_ms | open_s | ready |
      | coaches   | 9000    | 24      | 6      |       |         | 9000   | 4000  |
      | packhouse | 9000    | 19      | 6      |       |         | 9000   | 4000  |
    Then no instance is handed over

  Scenario: No instance is handed over to a backlog that ends before it comes
    Given pools
      | pool      | ready_s | members | needed | empty | idle_ms | open_s | ready |
      | coaches   | 200     | 34      | 6      |       |         | 200    | 4000  |
      | packhouse | 1900    | 9       | 6      |       |         | 1900   | 4000  |
    Then no instance is handed over

  Scenario: A pool keeps the instances that it needs when it hands others over
    Given pools
      | pool      | ready_s | members | needed | empty | idle_ms | open_s | ready |
      | coaches   | 100     | 8       | 6      |       |         | 100    | 400   |
      | packhouse | 9000    | 9       | 6      |       |         | 9000   | 4000  |
    Then 2 instances are handed over

  Scenario: Two demand peaks at a time share the spare instances
    Given pools
      | pool      | ready_s | members | needed | empty | idle_ms |
      | coaches   | 4000    | 6       | 4      |       |         |
      | packhouse | 3900    | 6       | 4      |       |         |
    And 12 spare instances
    Then "coaches" gets 6 of them and "packhouse" 6

  Scenario: A job is admitted if other pools can hand over instances in time
    # The packhouse's peak met 9 instances while the coaches' pool held 34.
    Given a full service of 500 cores with 15000 core seconds of open work
    When a job of 500 core seconds arrives that is of use for 27000 ms
    Then it is rejected with a time to retry
    Given pools that can hand over instances, of 2600 cores with 25000 core seconds of open work
    When a job of 500 core seconds arrives that is of use for 27000 ms
    Then it is admitted

  Scenario: A job is rejected if no pool can hand over instances in time
    Given a full service of 500 cores with 15000 core seconds of open work
    And pools that can hand over instances, of 2600 cores with 50000 core seconds of open work
    When a job of 500 core seconds arrives that is of use for 27000 ms
    Then it is rejected with a time to retry
