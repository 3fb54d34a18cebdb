Feature: Waiting tasks that fit on no instance of their pool

  # Hollybrook grown, LOST: an accepted step waited while most of its pool was idle.

  Background:
    Given a simulation of 3 pools of 3 instances and 8 spare ones

  Scenario Outline: A pool gets instances for tasks that fit on none of its own
    Given a standing job of 3 tasks of 40000 MB each, on instances of their own
    When job "a" of <count> <kind> of <cpu> milli-cores and <mb> MB with label "<label>" is submitted
    And the simulation runs for 20000 ms
    Then the book says that job "a" is "completed"
    And no guarantee was violated

    Examples:
      | count | kind       | cpu   | mb    | label |
      | 1     | task       | 500   | 30000 |       |
      | 5     | gang tasks | 12000 | 100   |       |
      | 4     | gang tasks | 500   | 30000 | a     |

  Scenario: Each standing task that must not share an instance gets one
    Given a standing job of 6 tasks of 100 MB each, on instances of their own
    When the simulation runs for 20000 ms
    Then 6 standing tasks are at work
    And no guarantee was violated

  Scenario: A pool of which all workers are gone gets instances
    Given all workers of the pool have crashed for good
    When job "a" of 3 tasks of 500 milli-cores and 100 MB with label "" is submitted
    And the simulation runs for 20000 ms
    Then the book says that job "a" is "completed"

  Scenario Outline: No instance moves for a task that fits on none of them
    When job "a" of <count> <kind> of <cpu> milli-cores and <mb> MB with label "<label>" is submitted
    And the simulation runs for 10000 ms
    Then no instance has moved to the pool

    Examples:
      | count | kind       | cpu   | mb    | label |
      | 1     | task       | 500   | 70000 |       |
      | 40    | gang tasks | 10    | 40000 |       |
      | 1     | task       | 500   | 100   | none  |
      | 40    | fillers    | 10    | 20000 |       |

  Scenario: An instance that is too small for the task it came for is not moved again and again
    Given the provider lists twice the capacity that spare instances have
    When job "a" of 1 task of 500 milli-cores and 70000 MB with label "" is submitted
    And the simulation runs for 60000 ms
    Then at most 4 instances have moved to the pool

  Scenario Outline: No task waits in vain in random runs with pools
    When random simulations of pools with seeds <first> to <last> are run
    Then no run has violated a guarantee

    Examples:
      | first | last |
      | 0     | 5    |

  Scenario Outline: The log tells why a step waits
    When job "a" of <count> <kind> of <cpu> milli-cores and <mb> MB with label "<label>" is submitted
    And the simulation runs for 10000 ms
    Then the log says once a second that a step of job "a" waits because of "<reason>"

    Examples:
      | count | kind       | cpu | mb    | label | reason    |
      | 1     | task       | 500 | 70000 |       | too_large |
      | 40    | gang tasks | 10  | 40000 |       | no_room   |
      | 1     | task       | 500 | 100   | none  | no_room   |

  # Hollybrook, LOST: a pool gave away its own workers for some that never came.
  Scenario: A pool works on while the provider is silent
    Given the provider is silent
    When the pools get peaks of jobs one after another for 30000 ms
    And the simulation runs for 20000 ms
    Then all jobs have ended
    And no guarantee was violated
