Feature: Orderly shutdowns of workers

  Background:
    Given a simulation of 4 workers without faults

  # Workers send no start with their shutdown; a delayed one ended the next life.
  Scenario Outline: A delayed shutdown of a former life does not end the present one
    When worker "w0" crashes after a shutdown <start>, which is delayed
    And job "a" of 1 step of 56 tasks of 60000 ms is submitted
    And 1 workers are added
    And the simulation runs for 1000 ms
    And the delayed shutdown arrives
    And the simulation runs for 3000 ms
    Then no guarantee was violated

    Examples:
      | start         |
      | with a start  |
      | without start |

  # A worker exits when it gets the answer, or some seconds later without one.
  Scenario Outline: A worker that shuts down may run until it gets the answer
    When job "a" of 1 step of 56 tasks of 60000 ms is submitted
    And 1 workers are added
    And the simulation runs for 1000 ms
    And worker "w3" shuts down <start>, and exits <exit> ms later
    And the simulation runs for 5000 ms
    Then no guarantee was violated
    And the tasks of the worker that has shut down run elsewhere

    Examples:
      | start         | exit |
      | with a start  | 0    |
      | with a start  | 2000 |
      | without start | 0    |
      | without start | 2000 |

  # The next leader took the shutdown for a crash.
  Scenario: A worker that has shut down is no evidence against its tasks
    When job "a" of 1 step of 1 task of 60000 ms is submitted
    And the simulation runs for 1000 ms
    And worker "w0" shuts down with a start, and exits 0 ms later
    And a new leader takes over
    And worker "w0" starts again
    And the simulation runs for 1000 ms
    Then there is no evidence against the tasks of the worker that has shut down
