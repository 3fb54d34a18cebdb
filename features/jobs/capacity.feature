Feature: Workers whose capacity shrinks while they run tasks

  Scenario: A start that was not delivered is withdrawn when its worker has shrunk
    Given a simulation of 2 workers whose capacity can shrink
    When all orders are lost
    And job "a" of 1 step of 8 tasks is submitted
    And the simulation runs for 300 ms
    And the capacity of every worker shrinks to 0.2
    And orders arrive again
    And the simulation runs for 600 ms
    Then no guarantee was violated
    When the simulation runs for 9000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: A gang is withdrawn as a whole when one of its workers has shrunk
    Given a simulation of 2 workers whose capacity can shrink
    When orders to worker "w0" are lost
    And job "g" of a gang of 24 tasks is submitted
    And the simulation runs for 300 ms
    And the capacity of worker "w0" shrinks to 0.2
    And orders arrive again
    And the simulation runs for 6000 ms
    Then no guarantee was violated
    When the capacity of worker "w0" grows back
    And the simulation runs for 9000 ms
    Then job "g" is "completed"
    And no guarantee was violated

  Scenario: A member of a gang is not started once another member was lost
    Given a simulation of 3 workers whose capacity can shrink
    When orders to worker "w0" are lost
    And job "g" of a gang of 40 tasks is submitted
    And the simulation runs for 300 ms
    And worker "w1" restarts
    And the simulation runs for 600 ms
    And orders arrive again
    And the simulation runs for 1000 ms
    Then no task has started on worker "w0"

  Scenario: A run that a worker refuses goes to another worker
    Given a simulation of 2 workers whose capacity can shrink
    When worker "w0" refuses all runs
    And job "a" of 1 step of 4 tasks is submitted
    And the simulation runs for 4000 ms
    Then job "a" is "completed"
    And 4 runs were refused

  Scenario: A pool whose workers have shrunk gets more instances
    Given a simulation of 4 workers whose capacity can shrink
    When the capacity of worker "w0" shrinks to 0.1
    And the capacity of worker "w1" shrinks to 0.1
    And the simulation runs for 600 ms
    Then the pool is measured to have 35 of 64 cores

  Scenario Outline: Shrinking workers are never overfilled in random simulations
    When random simulations of shrinking workers with seeds <first> to <last> are run
    Then no run has violated a guarantee

    Examples:
      | first | last |
      | 0     | 19   |
