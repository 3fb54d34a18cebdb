Feature: Jobs outlast crashes that they have not caused

  Background:
    Given a simulation of 7 workers on 2 racks that deadly tasks can crash

  # Hollybrook, LOST: one lost order and one crash ended a sound job as failed.
  Scenario Outline: A job outlasts lost orders and one crash under it
    Given <orders> workers crash before they receive an order
    And a worker that crashes is back after 1000 ms under the same id
    When job "b" of 1 step of 1 task of 60000 ms is submitted
    And the worker that runs job "b" crashes 500 ms after its start
    And the simulation runs for 20000 ms
    Then job "b" is "active"
    And no guarantee was violated

    Examples:
      | orders |
      | 1      |
      | 2      |

  Scenario: A job outlasts three lost orders
    Given 3 workers crash before they receive an order
    And a worker that crashes is back after 1000 ms under the same id
    When job "b" of 1 step of 1 task of 60000 ms is submitted
    And the simulation runs for 30000 ms
    Then job "b" is "active"

  # Found by the random check of the job interface, LOST; see KNOWN-RED.txt.
  Scenario: A job outlasts lost orders, one under an earlier leader, and one crash
    Given 2 workers crash before they receive an order
    And a worker that crashes is back after 1000 ms under the same id
    When job "b" of 1 step of 1 task of 60000 ms is submitted
    And the simulation runs for 300 ms
    And a new leader takes over
    And the worker that runs job "b" crashes 500 ms after its start
    And the simulation runs for 20000 ms
    Then job "b" is "active"
    And no guarantee was violated

  # Hollybrook, AVAIL: a standing job was given up and its sound tasks stopped.
  Scenario Outline: A standing job outlasts a series of short crashes
    Given a standing job of 5 tasks of which 1 may be unavailable
    When a worker crashes for 500 ms each <ms> ms, 40 times, with seed <seed>
    Then job "s" is "active"
    And no guarantee was violated

    Examples:
      | ms  | seed |
      | 500 | 1    |
      | 500 | 2    |
      | 500 | 3    |
      | 500 | 4    |
      | 300 | 5    |
      | 700 | 6    |

  Scenario: A later leader knows that a standing task has started safely
    Given a standing job of 5 tasks of which 1 may be unavailable
    When a new leader takes over
    And a worker crashes for 500 ms each 300 ms, 40 times, with seed 7
    Then job "s" is "active"
    And no guarantee was violated

  Scenario: A task that crashes its workers before they report it is given up
    Given a deadly task crashes its worker 0 ms after its start
    And a worker that crashes is back after 1000 ms under another id
    When deadly job "a" of 1 task is submitted
    And the simulation runs for 60000 ms
    Then job "a" is "failed"
    And at most 5 workers have crashed
    And no guarantee was violated
