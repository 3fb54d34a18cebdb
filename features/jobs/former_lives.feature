Feature: Answers that reach the next life of their worker

  Background:
    Given a simulation of 4 workers without faults

  # Issue 54, TWICE: the next life started a run that the leader had taken for
  # ended with the former life and had started on another worker.
  Scenario Outline: A run that the next life starts does not start elsewhere
    When <kind> is assigned, and its worker restarts before the order arrives
    And the order arrives at the next life <arrival> its first report
    And <leaders> new leaders take over before its next report
    And the next life is cut off after <connected> ms
    And the simulation runs for 9000 ms
    Then no guarantee was violated

    Examples:
      | kind                      | arrival | leaders | connected |
      | a task                    | after   | 0       | 0         |
      | a task                    | after   | 0       | 500       |
      | a task                    | after   | 0       | 8000      |
      | a task                    | after   | 1       | 0         |
      | a task                    | after   | 2       | 500       |
      | a task                    | before  | 0       | 0         |
      | a task                    | before  | 1       | 500       |
      | a task with checkpoints   | after   | 0       | 500       |
      | a gang                    | after   | 0       | 0         |
      | a gang                    | after   | 1       | 500       |
      | a gang                    | before  | 2       | 0         |
      | a standing task           | after   | 0       | 0         |
      | a standing task           | after   | 1       | 500       |
      | a standing task           | before  | 0       | 8000      |
      | a task that allows copies | after   | 0       | 500       |

  Scenario Outline: A run that the next life has ended does not start again
    When a run of 100 ms is ordered, and its worker restarts before the order arrives
    And the order arrives at the next life <arrival> its first report
    And <leaders> new leaders take over before its next report
    And the simulation runs for 9000 ms
    Then no guarantee was violated

    Examples:
      | arrival | leaders |
      | after   | 0       |
      | after   | 1       |
      | before  | 0       |

  Scenario: A run that the life after the next one starts does not start elsewhere
    When a task is assigned, and its worker restarts before the order arrives
    And the next life restarts after its first report
    And the order arrives at the next life after its first report
    And the next life is cut off after 0 ms
    And the simulation runs for 9000 ms
    Then no guarantee was violated

  # An acknowledgement for the former life hid the end from the leader.
  Scenario: An acknowledgement for the former life forgets no end of the next one
    When a worker that has ended a run restarts before its end is acknowledged
    And a task of 100 ms waits for the next life until the acknowledgement arrives
    And the simulation runs for 9000 ms
    Then no guarantee was violated
    And job "b" is "completed"

  Scenario: An acknowledgement forgets no end of the life after the next one
    When a worker that has ended a run restarts before its end is acknowledged
    And the next life restarts after its first report
    And a task of 100 ms waits for the next life until the acknowledgement arrives
    And the simulation runs for 9000 ms
    Then no guarantee was violated
    And job "b" is "completed"

  # A copy may run beside another run, but the next life has to have room for it.
  Scenario: The next life is not filled while the order for a copy may arrive
    When a task that allows copies is assigned, and its worker restarts before the order arrives
    And the next life might be filled by another job before the order arrives
    Then no guarantee was violated

  # A worker that fell silent held back the upkeep of its instance for good.
  Scenario Outline: The upkeep of an instance whose worker has fallen silent is ordered
    When a task is assigned, and its worker restarts <when> the order arrives
    And the next life reports once and is cut off for 6000 ms
    And the upkeep of the target's instance is due
    Then the upkeep is ordered within 6000 ms

    Examples:
      | when   |
      | after  |
      | before |

  # Its clock is that of another writer, or stands still.
  Scenario: A worker whose clock does not run gets work once no report can be as late
    When a task is assigned, and its worker restarts before the order arrives
    And the clock of the next life stands still for 62000 ms
    Then the next life gets runs when job "b" of 64 tasks is submitted

  Scenario: A run in doubt starts again although the next life does not return
    When a task is assigned, and its worker restarts before the order arrives
    And the next life reports once and is cut off for 6000 ms
    Then its task runs with a higher number

  Scenario: The lease of the next life counts for the runs that it may have received
    When a task is assigned, and its worker is back 800 ms before the order arrives
    And the order arrives at the next life after its first report
    And the next life is cut off after 0 ms
    And the simulation runs for 9000 ms
    Then no guarantee was violated

  Scenario: A crash counts once although the leader changes while a run is in doubt
    When a task is assigned, and its worker restarts before the order arrives
    And the next life reports once, and to a new leader again
    Then the crash has counted once

  # The present life had come back elsewhere.
  Scenario: Another worker on the instance of a former life settles none of its runs
    When a task is assigned, and its worker restarts before the order arrives
    And the next life reports from elsewhere, and another worker from its instance
    And the order arrives at the next life after its first report
    And the next life is cut off after 0 ms
    And the simulation runs for 9000 ms
    Then no guarantee was violated

  # The proof may not cost more than the time in which an answer is obeyed.
  Scenario Outline: A run whose order was lost with its worker starts again soon
    When <kind> is assigned, and its worker restarts before the order arrives
    And the next life reports and the simulation runs for 1500 ms
    Then its task runs with a higher number

    Examples:
      | kind                    |
      | a task                  |
      | a task with checkpoints |
      | a standing task         |

  # Only answers of the last second before a crash can be on their way.
  Scenario: A worker that was silent for long gets work at once when it is back
    When a worker is back after 2000 ms, and a task is submitted that fits nowhere else
    Then the task starts within 300 ms

  Scenario Outline: Random simulations of restarted workers keep the guarantees
    When random simulations of restarted workers with seeds <first> to <last> are run
    Then no run has violated a guarantee
    And some answers have reached a later life

    Examples:
      | first | last |
      | 0     | 29   |
      | 30    | 69   |
