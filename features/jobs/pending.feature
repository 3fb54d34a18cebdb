Feature: Count of the jobs that have not begun

  Background:
    Given a simulation of 4 workers without faults
    And the simulation has run for 500 ms

  # Hollybrook, MIXED: jobs whose orders no worker received were not pending.
  Scenario: Jobs that are assigned to silent workers are pending
    Given every worker is cut off
    When 6 jobs of 1 task are submitted
    And the simulation runs for 6000 ms
    Then 6 jobs are pending
    When every worker is connected again
    And the simulation runs for 1000 ms
    Then 0 jobs are pending

  Scenario: Jobs whose orders are lost are pending, also for the next leader
    Given the next answers to every worker are lost
    When 3 jobs of 1 task are submitted
    And the simulation runs for 500 ms
    Then 3 jobs are pending
    When a new leader takes over
    Then 3 jobs are pending
    When the simulation runs for 3000 ms
    Then 0 jobs are pending

  Scenario: A job that has begun is no longer pending, whatever becomes of its run
    When 1 job of 1 task is submitted
    And the simulation runs for 300 ms
    Then 0 jobs are pending
    When a new leader takes over
    Then 0 jobs are pending
    When every worker restarts
    And the simulation runs for 25 ms
    Then 0 jobs are pending

  Scenario: A job whose first run was refused is pending
    Given every worker refuses the next run
    When 1 job of 1 task is submitted
    And the simulation runs for 100 ms
    Then 1 job is pending
