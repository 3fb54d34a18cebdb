Feature: Why tasks wait
  Whoever runs the system is told why a task that could run does not. Tests
  measure by what the workers run which tasks wait beside free room.

  Background:
    Given a simulation of 2 watched workers

  Scenario: Standing tasks that run or are soon back are not reported
    Given a standing job of 2 tasks, one on each worker
    When a worker crashes and is back after 5 s
    And 15 s pass under the watch
    Then the watch reports nothing

  Scenario: A standing task that is passed over is reported 9 s after its run
    Given a standing job of 2 tasks, one on each worker
    And a third worker
    When the plan passes over all tasks
    And a worker crashes and is back after 1 s
    And 8 s pass under the watch
    Then the watch reports nothing
    When 2 s pass under the watch
    Then the watch reports 1 standing task because of "order"

  Scenario: A job that is passed over is reported after 3 s
    When the plan passes over all tasks
    And a job of 1 task is submitted
    And 3 s pass under the watch
    Then the watch reports nothing
    When 1 s passes under the watch
    Then the watch reports 1 job because of "order"

  Scenario: A job for which there is not twice the room is not reported
    When the plan passes over all tasks
    And a job of 1 task that needs 9 cores and a label of one worker is submitted
    And 8 s pass under the watch
    Then the watch reports nothing

  Scenario Outline: The reason is told for a single task
    Given a standing job of 2 tasks, one on each worker
    When <fault>
    Then the reason for one task is "<reason>"

    Examples:
      | fault                                             | reason          |
      | nothing happens                                   | runs            |
      | a worker is cut off for 2 s                       | worker_silent   |
      | a worker is cut off and a new leader starts       | worker_unheard  |
      | a worker loses each order to start its new task   | not_started     |
      | a worker is gone for 6 s                          | spread          |
      | a worker is gone and the other one has no room    | no_room         |
      | a new worker has an instance that is to move      | instance_goal   |
      | a new worker is suspect                           | workers_suspect |
      | a task waits until its silent worker is known     | held            |
      | its team is at its cap                            | team_cap        |
      | its run is withdrawn                              | withdrawn       |
      | its job is cancelled                              | not_open        |

  Scenario: The log tells of standing tasks that have not run for 3 s
    Given a standing job of 2 tasks, one on each worker
    When a worker is gone for 9 s
    Then the log says at most once a second that 1 standing task waits because of "spread"
    And the first of these lines tells of 3 s without a run
