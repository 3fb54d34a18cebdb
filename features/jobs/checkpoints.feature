Feature: Checkpoints and copies

  Background:
    Given a simulation of 4 workers without faults

  Scenario Outline: A run that its worker lost goes on from the last value heard
    When job "a" of 1 task with checkpoints is submitted for 6000 ms
    And the simulation runs for 3000 ms
    And the worker that runs it <trouble>
    And the simulation runs for 6000 ms
    Then 2 runs have started
    And the second went on from the last value that was heard
    And no guarantee was violated

    Examples:
      | trouble      |
      | falls silent |
      | starts again |
      | crashes      |

  Scenario: A gang goes on from one value after a member's worker was cut off
    When job "a" of a gang of 3 tasks with checkpoints is submitted for 6000 ms
    And the simulation runs for 3000 ms
    And the worker that runs it falls silent
    And the simulation runs for 1000 ms
    And the worker that was cut off crashes
    And the simulation runs for 20000 ms
    Then job "a" is "completed"
    And every later run went on from a value
    And no guarantee was violated

  Scenario: A new leader's starts carry what its workers list
    When job "a" of 1 task with checkpoints is submitted for 6000 ms
    And the simulation runs for 2000 ms
    And a new leader takes over
    And the simulation runs for 1000 ms
    And the worker that runs it crashes
    And the simulation runs for 6000 ms
    Then 2 runs have started
    And the second went on from the last value that was heard

  Scenario: A task that allows no copies waits for a silent worker's lease
    When job "a" of 1 step of 1 task of 8000 ms is submitted
    And the simulation runs for 1000 ms
    And the worker that runs it falls silent
    And the simulation runs for 3000 ms
    Then 1 run has started

  Scenario: One end of two copies ends the task and stops the other
    When job "a" of 1 task that allows copies is submitted for 8000 ms
    And the simulation runs for 1000 ms
    And the worker that runs it falls silent
    And the simulation runs for 1500 ms
    And the worker that was cut off is heard again
    And the simulation runs for 9000 ms
    Then job "a" is "completed"
    And nothing runs
    And 2 runs have started

  Scenario: Random runs with copies keep the promises
    When random runs of jobs with copies and the seeds 0 to 11 are played
    Then no run has violated a guarantee
