Feature: Capacity and running tasks of data centres that are evacuated

  # The others would end as alone after the gang timeout.
  Scenario: A gang across two data centres is withdrawn at once as a whole
    Given a simulation of 4 workers without faults
    And its workers are in the data centres "north" and "south"
    When a gang is assigned across them, of which the southern member has started
    And the evacuation of "north" begins
    And the simulation runs for 200 ms
    Then the southern member has been stopped, before the northern worker reports
    When the simulation runs for 9000 ms
    Then no member of a gang has waited in vain
    And its task has been run
    And no guarantee was violated

  # The next leader knows only from the book that the gang is not complete.
  Scenario: A gang of which an earlier leader took back a member is withdrawn
    Given a simulation of 4 workers without faults
    And its workers are in the data centres "north" and "south"
    When a gang is assigned across them, of which the southern member has started
    And the evacuation of "north" begins
    And the northern member is taken back, and a new leader takes over
    And the simulation runs for 600 ms
    Then the southern member has been stopped
    When the simulation runs for 9000 ms
    Then no member of a gang has waited in vain
    And its task has been run
    And no guarantee was violated

  Scenario: A gang that runs as a whole goes on
    Given a simulation of 4 workers without faults
    And its workers are in the data centres "north" and "south"
    When a gang is assigned across them, of which all members have started
    And the evacuation of "north" begins
    And the simulation runs for 9000 ms
    Then its gang has run once

  Scenario: Standing tasks are moved one at a time
    Given a simulation of 8 workers without faults
    And its workers are in the data centres "north" and "south"
    And a standing job of 6 tasks, several on an instance, of which 2 may be unavailable
    When the evacuation of "north" begins
    And the simulation runs for 12000 ms, while standing tasks are counted
    Then all 6 standing tasks run outside "north"
    And never more than 1 standing task was missing

  Scenario Outline: Standing tasks stay that <why>
    Given a simulation of 8 workers without faults
    And its workers are in the data centres "north" and "south"
    And a standing job of <count> tasks, <where>, of which <missing> may be unavailable
    When the evacuation of "north" begins
    And the simulation runs for 8000 ms, while standing tasks are counted
    Then never more than 0 standing tasks were missing

    Examples:
      | why                | where                   | count | missing |
      | may not be missing | several on an instance  | 6     | 0       |
      | have no room       | one on each instance    | 8     | 2       |

  # The next leader does not know which runs were withdrawn.
  Scenario: Standing tasks are moved one at a time by changing leaders
    Given a simulation of 8 workers without faults
    And its workers are in the data centres "north" and "south"
    And a standing job of 6 tasks, several on an instance, of which 1 may be unavailable
    When the evacuation of "north" begins
    And the simulation runs for 300 ms, while standing tasks are counted
    And a new leader takes over
    And the simulation runs for 20000 ms, while standing tasks are counted
    Then all 6 standing tasks run outside "north"
    And never more than 1 standing task was missing

  Scenario: A pool gets instances for those that are evacuated, none of them there
    Given pools of 6 instances, 2 of them in the north, and 9 spare ones, 3 of them in the north
    When a pool is loaded as it can serve, and the north is evacuated
    And the pools run for 2500 ms
    Then the loaded pool has at least 6 usable instances
    And no instance of the north has been moved
    And no job was refused or late

  Scenario: A pool without load gets back what it keeps for failures
    Given pools of 6 instances, 4 of them in the north, and 9 spare ones, 3 of them in the north
    When the north is evacuated
    And the pools run for 2500 ms
    Then the loaded pool has at least 4 usable instances

  # Moves that are ordered end, but the instance gets no task.
  Scenario: A move under way into a pool ends without a task on the instance
    Given pools of 3 instances, 0 of them in the north, and 4 spare ones, 4 of them in the north
    When a pool needs instances, and the north is evacuated once they are ordered
    And the pools run for 4000 ms
    Then instances of the north have come to the pool
    And no guarantee was violated in the pools

  Scenario: A move that is not ordered yet is dropped
    Given pools of 3 instances, 3 of them in the north, and 0 spare ones, 0 of them in the north
    When an instance is to move to another pool once it is empty, and the north is evacuated
    And the pools run for 500 ms
    Then the instance has no goal any more

  Scenario Outline: A pool with all its capacity in the north <outcome>
    Given pools of 3 instances, 3 of them in the north, and <spare> spare ones, <northern> of them in the north
    When the north is evacuated
    And the pools run for 25 ms
    And a job is submitted to a pool
    Then the job is <outcome>

    Examples:
      | outcome          | spare | northern |
      | refused as such  | 0     | 0        |
      | refused as such  | 2     | 2        |
      | admitted and run | 2     | 0        |

  Scenario: A new leader refuses nothing before the other workers have reported
    Given pools of 3 instances, 2 of them in the north, and 0 spare ones, 0 of them in the north
    When the north is evacuated
    And a new leader has heard only of the north
    And a job is submitted to a pool
    Then the job is admitted and run

  Scenario: A waiting step names the evacuation as its reason
    Given a simulation of 4 workers without faults
    And its workers are in the data centres "north" and "south"
    When the evacuation of "north" begins
    And all workers of the south are full, and a job waits
    Then the job waits because of "evacuated"

  Scenario: The log says how far an evacuation is
    Given pools of 3 instances, 2 of them in the north, and 0 spare ones, 0 of them in the north
    When tasks run in the north, and the north is evacuated
    And the pools run for 5000 ms
    And the evacuation of the north ends
    Then these lines were logged, each once: "evacuation_begun,evacuation_in_force,evacuation_empty,evacuation_ended"

  # Tasks on a worker that is cold may be slow without a fault of the worker.
  Scenario Outline: The health of a cold worker is <judged> <when>
    Given a simulation of 2 workers without faults
    And its workers are in the data centres "north" and "south"
    When <begin>
    And worker "w0" is cold, and makes no progress with its runs
    And job "a" of 1 step of 6 tasks is submitted
    And the simulation runs for 3000 ms
    Then worker "w0" is <judged>

    Examples:
      | judged      | when                      | begin                               |
      | not suspect | after an evacuation       | the north was evacuated for 1000 ms |
      | suspect     | without one               | the simulation runs for 1000 ms     |

  # A node that no longer leads would show an evacuation for ever.
  Scenario: The metrics show what is left, until the node no longer leads
    Given pools of 3 instances, 2 of them in the north, and 0 spare ones, 0 of them in the north
    When tasks run in the north, and the north is evacuated
    And the pools run for 300 ms
    And the turns of the leader are observed
    Then the metrics show 1 evacuation and the tasks in the north
    When the node no longer leads
    Then the metrics show 0 evacuations
