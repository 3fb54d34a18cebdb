Feature: Checkpoints and copies

  Background:
    Given a calm world of 4 workers

  Scenario Outline: A run that its worker lost goes on from the last value heard
    When job "a" of 1 task with checkpoints is handed in for 6000 ms
    And 3000 ms pass for the jobs
    And the worker that runs it <trouble>
    And 6000 ms pass for the jobs
    Then 2 runs have started
    And the second went on from the last value that was heard
    And no promise was broken

    Examples:
      | trouble      |
      | falls silent |
      | starts again |
      | crashes      |

  Scenario: A gang goes on from one value after a member's worker was cut off
    When job "a" of a gang of 3 tasks with checkpoints is handed in for 6000 ms
    And 3000 ms pass for the jobs
    And the worker that runs it falls silent
    And 1000 ms pass for the jobs
    And the worker that was cut off crashes
    And 20000 ms pass for the jobs
    Then job "a" is "completed"
    And every later run went on from a value
    And no promise was broken

  Scenario: A new leader's starts carry what its workers list
    When job "a" of 1 task with checkpoints is handed in for 6000 ms
    And 2000 ms pass for the jobs
    And another scheduler takes over
    And 1000 ms pass for the jobs
    And the worker that runs it crashes
    And 6000 ms pass for the jobs
    Then 2 runs have started
    And the second went on from the last value that was heard

  Scenario: A task that allows no copies waits for a silent worker's lease
    When job "a" of 1 step of 1 task of 8000 ms is handed in
    And 1000 ms pass for the jobs
    And the worker that runs it falls silent
    And 3000 ms pass for the jobs
    Then 1 run has started

  Scenario: One end of two copies ends the task and stops the other
    When job "a" of 1 task that allows copies is handed in for 8000 ms
    And 1000 ms pass for the jobs
    And the worker that runs it falls silent
    And 1500 ms pass for the jobs
    And the worker that was cut off is heard again
    And 9000 ms pass for the jobs
    Then job "a" is "completed"
    And nothing runs
    And 2 runs have started

  Scenario: Random runs with copies keep the promises
    When random runs of jobs with copies and the seeds 0 to 11 are played
    Then no run has broken a promise
