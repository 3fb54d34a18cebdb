Feature: Checkpoints and copies

  Background:
    Given a simulation of 4 workers without faults

  Scenario Outline: A run that its worker lost resumes from the last reported checkpoint
    When job "a" of 1 task of 6000 ms with checkpoints is submitted
    And the simulation runs for 3000 ms
    And the worker that runs it <fault>
    And the simulation runs for 6000 ms
    Then 2 runs have started
    And the second resumed from the last reported checkpoint
    And no guarantee was violated

    Examples:
      | fault      |
      | is cut off |
      | restarts   |
      | crashes    |

  Scenario: All members of a gang resume from one checkpoint after a worker was cut off
    When job "a" of a gang of 3 tasks of 6000 ms with checkpoints is submitted
    And the simulation runs for 3000 ms
    And the worker that runs it is cut off
    And the simulation runs for 1000 ms
    And the worker that was cut off crashes
    And the simulation runs for 20000 ms
    Then job "a" is "completed"
    And every later run resumed from a checkpoint
    And no guarantee was violated

  Scenario: A new leader resumes tasks from the checkpoints that its workers report
    When job "a" of 1 task of 6000 ms with checkpoints is submitted
    And the simulation runs for 2000 ms
    And a new leader takes over
    And the simulation runs for 1000 ms
    And the worker that runs it crashes
    And the simulation runs for 6000 ms
    Then 2 runs have started
    And the second resumed from the last reported checkpoint

  Scenario: A task that allows no copies waits for the lease of a worker that was cut off
    When job "a" of 1 step of 1 task of 8000 ms is submitted
    And the simulation runs for 1000 ms
    And the worker that runs it is cut off
    And the simulation runs for 3000 ms
    Then 1 run has started

  Scenario: The end of one of two copies ends the task and stops the other copy
    When job "a" of 1 task of 8000 ms that allows copies is submitted
    And the simulation runs for 1000 ms
    And the worker that runs it is cut off
    And the simulation runs for 1500 ms
    And the worker that was cut off is connected again
    And the simulation runs for 9000 ms
    Then job "a" is "completed"
    And nothing runs
    And 2 runs have started

  Scenario: Random simulations with copies keep the guarantees
    When random job simulations with copies and seeds 0 to 11 are run
    Then no run has violated a guarantee
