Feature: Filler tasks beside serving ones

  Scenario: A serving task near its target slows down the filler tasks beside it
    Given a worker whose filler tasks run at full pace
    When a serving task with a target of 100 ms has tail latencies of 90, 95, 92 ms
    Then the filler tasks run at 12 percent

  Scenario: Filler tasks that would be slowed down too far are stopped
    Given a worker whose filler tasks run at full pace
    When a serving task with a target of 100 ms has tail latencies of 90, 95, 92 ms
    And a serving task with a target of 100 ms has tail latencies of 90, 95, 92 ms
    Then the filler tasks run at 0 percent

  Scenario: The pace is raised again in steps
    Given a worker whose filler tasks run at full pace
    When a serving task with a target of 100 ms has tail latencies of 90, 95, 92 ms
    And a serving task with a target of 100 ms has tail latencies of 20, 70, 30 ms
    Then the filler tasks run at 32 percent

  Scenario: The scheduler sends a worker the pace
    Given a simulation of 1 workers without faults
    And a job of 1 serving and 2 filler tasks
    When the serving task's tail is 95 ms of its 100 ms for 3000 ms
    Then the worker was ordered to slow down both filler tasks
