Feature: Filling tasks beside serving ones

  Scenario: A serving task near its target slows down what fills beside it
    Given a worker whose filling tasks run at full pace
    When a serving task reports tails of 90, 95 and 92 ms of its 100 ms
    Then the filling tasks run at 12 percent

  Scenario: A filler that is slowed further is stopped
    Given a worker whose filling tasks run at full pace
    When a serving task reports tails of 90, 95 and 92 ms of its 100 ms
    And a serving task reports tails of 90, 95 and 92 ms of its 100 ms
    Then the filling tasks run at 0 percent

  Scenario: The pace comes back in steps
    Given a worker whose filling tasks run at full pace
    When a serving task reports tails of 90, 95 and 92 ms of its 100 ms
    And a serving task reports tails of 20, 70 and 30 ms of its 100 ms
    Then the filling tasks run at 32 percent

  Scenario: The scheduler tells a worker the pace
    Given a simulation of 1 workers without faults
    And a job of 1 serving and 2 filling tasks
    When the serving task's tail is 95 ms of its 100 ms for 3000 ms
    Then the worker was told to slow both filling tasks down
