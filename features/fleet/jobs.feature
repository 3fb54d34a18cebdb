Feature: Jobs run once, within limits, and failures are attributed correctly

  Scenario: A worker that fails every task is quarantined, its jobs succeed
    Given a fleet of jobs with seed 1
    And the fleet worker "orders-0" fails every task
    When 12 good jobs and 0 bad jobs are submitted
    Then every good job is done and every bad job is parked
    And only the fleet workers "orders-0" were quarantined
    And at most 5 fleet tasks failed on "orders-0"
    When the fleet worker "orders-0" is repaired and its quarantine ends
    Then only the fleet workers "none" were quarantined

  Scenario Outline: A burst of <bad> bad jobs quarantines no worker, seed <seed>
    Given a fleet of jobs with seed <seed>
    When <good> good jobs and <bad> bad jobs are submitted
    Then every good job is done and every bad job is parked
    And only the fleet workers "none" were quarantined

    Examples:
      | seed | good | bad |
      | 2    | 0    | 20  |
      | 3    | 10   | 10  |
      | 4    | 20   | 5   |

  Scenario Outline: A job that crashes worker after worker is parked, seed <seed>
    Given a fleet of jobs with seed <seed>
    When <good> good jobs and <bad> jobs that crash their workers are submitted
    Then every good job is done and every bad job is parked
    And each bad job names the workers that it crashed, at most 4 a task
    And only the fleet workers "none" were quarantined

    Examples:
      | seed | good | bad |
      | 5    | 0    | 1   |
      | 6    | 8    | 1   |
      | 7    | 12   | 2   |

  Scenario: A job that can never run is parked at once
    Given a fleet of jobs with seed 1
    When a job needs more than any worker of its pool has
    Then it is parked in the first plan with the reason

  Scenario: An urgent job preempts non-urgent tasks and starts in time
    Given a fleet of jobs with seed 1
    When non-urgent jobs fill the pool and an urgent job is submitted
    Then the urgent job starts within 2200 ms

  Scenario: A team's upper limit holds for its tasks
    Given a fleet of jobs with seed 1
    When a team with an upper limit of 5 submits 12 tasks
    Then all tasks succeeded once and the limit was never exceeded

  Scenario: A batch of cancellations needs only one plan
    Given a fleet of jobs with seed 1
    When 30 running jobs are cancelled at once
    Then one plan ends them all and no task is left

  Scenario Outline: Under faults every task succeeds once, seed <seed>
    Given a fleet of jobs with seed <seed>
    When 25 jobs are submitted while faults are injected
    Then every good job is done and every bad job is parked

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
