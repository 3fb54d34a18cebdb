Feature: Jobs of teams, as the scheduler decides on them

  Background:
    Given a simulation of 3 workers without faults

  Scenario: A job that is handed in again meets the first outcome
    When job "a" of 1 step of 2 tasks is submitted
    And job "a" of 1 step of 2 tasks is submitted
    Then the answer is "Done"
    When the simulation runs for 5000 ms
    Then job "a" is "completed"
    And 2 runs have started

  Scenario: An id that another team uses is refused
    When job "a" of 1 step of 2 tasks is submitted
    And job "a" is submitted with key "key-school"
    Then the answer is "BadRequest"

  Scenario: Unknown queues and keys
    When job "a" is submitted at "/none/"
    Then the answer is "UnknownQueue"
    When job "a" is submitted with key "nobody"
    Then the answer is "BadKey"

  Scenario: A cancelled job stops, and stays cancelled
    When job "a" of 1 step of 3 tasks of 60000 ms is submitted
    And the simulation runs for 1000 ms
    And job "a" is cancelled
    And the simulation runs for 1000 ms
    Then job "a" is "cancelled"
    And nothing runs

  Scenario: A later step waits for the whole earlier one
    When job "a" of 3 steps of 2 tasks is submitted
    And the simulation runs for 20000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: A job whose task fails too often has failed
    Given every run fails
    When job "a" of 1 step of 1 task is submitted
    And the simulation runs for 20000 ms
    Then job "a" is "failed"
    And 3 runs have started

  Scenario: A run that stands still is taken away from its worker
    Given one worker lets its runs stand still
    When job "a" of 1 step of 6 tasks is submitted
    And the simulation runs for 7000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: A worker that fails everything costs no job its attempts
    Given one worker fails all that it starts
    When job "a" of 1 step of 6 tasks is submitted
    And job "b" of 2 steps of 6 tasks is submitted
    And the simulation runs for 15000 ms
    Then job "a" is "completed"
    And job "b" is "completed"
    And at most 12 runs ended as failed

  Scenario: The runs of a restarted worker are started again at once
    When job "a" of 1 step of 3 tasks of 10000 ms is submitted
    And the simulation runs for 1000 ms
    And every worker starts again
    And the simulation runs for 1000 ms
    Then 6 runs have started
    And no guarantee was violated

  Scenario: The runs of a silent worker wait for its lease to run out
    When job "a" of 1 step of 1 task of 60000 ms is submitted
    And the simulation runs for 1000 ms
    And the worker that runs it falls silent
    And the simulation runs for 3000 ms
    Then 1 run has started
    When the simulation runs for 2500 ms
    Then 2 runs have started
    And no guarantee was violated

  Scenario: A late report of a worker is no news
    When job "a" of 1 step of 1 task of 60000 ms is submitted
    And the simulation runs for 1000 ms
    And the worker that runs it repeats an old report
    Then the answer is "BadRequest"

  Scenario: A new leader goes on with what is on record
    When job "a" of 2 steps of 2 tasks is submitted
    And the simulation runs for 600 ms
    And a new leader takes over
    And the simulation runs for 20000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: A dropped queue's jobs go on
    When job "a" of 2 steps of 2 tasks is submitted
    And a configuration without queues is put in force
    And the simulation runs for 20000 ms
    Then the book says that job "a" is "completed"

  Scenario: A lower version changes nothing and is acknowledged
    When a configuration without queues is put in force
    And the first configuration is put in force again
    Then the answer is "Done"
    And version 2 is in force

  Scenario: Two upkeeps at once never take a standing step beyond what it may miss
    Given a standing job of 3 tasks of which 1 may be unavailable
    When a wave of all instances with 3 at once is requested
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And never more than 1 standing task was interrupted at a time

  Scenario: An upkeep that was ordered by an earlier leader is carried on
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 4000 ms
    And a new leader takes over
    And the simulation runs with a provider for 40000 ms
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: A new leader orders at once what nobody has ordered lately
    When wave 1 of instance "m-w0" is requested
    And the simulation runs with a provider for 1500 ms
    And a new leader takes over
    And wave 2 of instance "m-w1" is requested
    And the simulation runs with a provider for 1000 ms
    Then an instance was ordered within 1000 ms of the change
    When the simulation runs with a provider for 40000 ms
    Then the wave is complete
    And no instance was ordered by two leaders within 3000 ms

  Scenario: A job is taken in when spare instances can still come
    Given a simulation of 1 workers without faults
    When 12 jobs of 8 tasks of 20000 ms are submitted at once
    Then some of them were turned away with a time to come back
    Given a simulation of 1 workers without faults
    And 9 instances are in the spare pool
    When 12 jobs of 8 tasks of 20000 ms are submitted at once
    Then none of them was turned away

  Scenario: A new leader counts workers that it has not heard yet
    # Without them a pool looks too small for what it has to do, and jobs are
    # turned away.
    Given a simulation of 6 workers without faults
    And 9 instances are in the spare pool
    When 3 jobs of 8 tasks of 1500 ms are submitted at once
    And a new leader takes over and gets reports of only one worker
    And the simulation runs for 600 ms
    Then no instance is moving to another pool

  Scenario: A full service is divided by the teams' weights
    # The team with the smaller weight comes first and would fill it alone.
    When job "a" of 400 tasks is submitted with key "key-school"
    And job "b" of 400 tasks is submitted with key "key-coach"
    And the simulation runs for 10000 ms
    Then the tasks of jobs "b" and "a" were started as 2 to 1, within 5%

  Scenario: What a team leaves of its share goes to the others
    When job "a" of 400 tasks is submitted with key "key-school"
    And the simulation runs for 5000 ms
    Then all workers are full

  Scenario: What a team's cap lets end too late is turned away at once
    # Half of the workers stay idle; the team may not use them.
    Given a simulation of 6 workers without faults in which teams are capped at 12 cores
    When 12 jobs of 8 tasks of 3000 ms are submitted at once
    Then some of them were turned away with a time to come back

  Scenario: An order that got no answer is given again
    Given the provider's first answer to each order is lost
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: A task that allows copies does not wait for a silent worker's lease
    When job "a" of 1 task that allows copies is submitted for 8000 ms
    And the simulation runs for 1000 ms
    And the worker that runs it falls silent
    And the simulation runs for 1500 ms
    Then 2 runs have started
    When the simulation runs for 9000 ms
    Then job "a" is "completed"

  Scenario: A new leader takes down nothing whose worker it has not heard
    Given a standing job of 3 tasks of which 1 may be unavailable
    When the simulation runs for 75 ms
    And a wave of all instances with 3 at once is requested
    And a new leader takes over
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And never more than 1 standing task was interrupted at a time

  Scenario: A late report of an earlier worker does not end its instance's upkeep
    # The next upkeep began while the first instance was still down.
    When worker "w0" falls silent with a report on its way
    And a new leader takes over
    And a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 4000 ms
    And the late report arrives
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: A worker that is back when its upkeep is ordered again stays in use
    # A new leader took it for ended, and refused its reports from then on.
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 1000 ms
    And a new leader takes over
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And every worker is known

  Scenario: A worker that is back when an order without an answer is given again stays in use
    Given the provider's first answer to each order is lost
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And every worker is known
