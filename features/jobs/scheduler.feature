Feature: Scheduling of the jobs of teams

  Background:
    Given a simulation of 3 workers without faults

  Scenario: Submitting a job again does not start it again
    When job "a" of 1 step of 2 tasks is submitted
    And job "a" of 1 step of 2 tasks is submitted
    Then the answer is "Done"
    When the simulation runs for 5000 ms
    Then job "a" is "completed"
    And 2 runs have started

  Scenario: A job id that another team uses is refused
    When job "a" of 1 step of 2 tasks is submitted
    And job "a" is submitted with key "key-school"
    Then the answer is "BadRequest"

  Scenario: Unknown queues and keys are refused
    When job "a" is submitted at "/none/"
    Then the answer is "UnknownQueue"
    When job "a" is submitted with key "nobody"
    Then the answer is "BadKey"

  Scenario: A cancelled job stops and stays cancelled
    When job "a" of 1 step of 3 tasks of 60000 ms is submitted
    And the simulation runs for 1000 ms
    And job "a" is cancelled
    And the simulation runs for 1000 ms
    Then job "a" is "cancelled"
    And nothing runs

  Scenario: A step starts only after all tasks of the step it depends on
    When job "a" of 3 steps of 2 tasks is submitted
    And the simulation runs for 20000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: A job fails when one of its tasks fails too often
    Given every run fails
    When job "a" of 1 step of 1 task is submitted
    And the simulation runs for 20000 ms
    Then job "a" is "failed"
    And its caller gets the reason "task 0.0.0 failed 3 times"
    And 3 runs have started

  Scenario: A run without progress is withdrawn from its worker
    Given one worker makes no progress with its runs
    When job "a" of 1 step of 6 tasks is submitted
    And the simulation runs for 7000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: A worker that fails all its runs does not use up the attempts of jobs
    Given one worker fails all its runs
    When job "a" of 1 step of 6 tasks is submitted
    And job "b" of 2 steps of 6 tasks is submitted
    And the simulation runs for 15000 ms
    Then job "a" is "completed"
    And job "b" is "completed"
    And at most 12 runs ended as failed

  Scenario: The tasks of a restarted worker get new runs at once
    When job "a" of 1 step of 3 tasks of 10000 ms is submitted
    And the simulation runs for 1000 ms
    And every worker restarts
    And the simulation runs for 1000 ms
    Then 6 runs have started
    And no guarantee was violated

  Scenario: The tasks of a worker that was cut off get new runs only after its lease expires
    When job "a" of 1 step of 1 task of 60000 ms is submitted
    And the simulation runs for 1000 ms
    And the worker that runs it is cut off
    And the simulation runs for 3000 ms
    Then 1 run has started
    When the simulation runs for 2500 ms
    Then 2 runs have started
    And no guarantee was violated

  Scenario: A stale report of a worker is refused
    When job "a" of 1 step of 1 task of 60000 ms is submitted
    And the simulation runs for 1000 ms
    And the worker that runs it sends an old report again
    Then the answer is "BadRequest"

  Scenario: A new leader continues the recorded jobs
    When job "a" of 2 steps of 2 tasks is submitted
    And the simulation runs for 600 ms
    And a new leader takes over
    And the simulation runs for 20000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: The jobs of a removed queue continue
    When job "a" of 2 steps of 2 tasks is submitted
    And a configuration without queues is put in force
    And the simulation runs for 20000 ms
    Then the book says that job "a" is "completed"

  Scenario: A configuration with a lower version is acknowledged but not applied
    When a configuration without queues is put in force
    And the first configuration is put in force again
    Then the answer is "Done"
    And version 2 is in force

  Scenario: Upkeeps never make more standing tasks unavailable than allowed
    Given a standing job of 3 tasks of which 1 may be unavailable
    When a wave of all instances with 3 at once is requested
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And never more than 1 standing task was interrupted at a time

  Scenario: Several standing tasks on one instance do not prevent its upkeep
    # Deponia's quiet day: the last of 19 instances ran two of five tasks, of
    # which one may be unavailable, and was never taken down.
    Given a standing job of 7 tasks, several on an instance, of which 1 may be unavailable
    When a wave of all instances with 3 at once is requested
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And never more than 1 standing task was interrupted at a time

  Scenario: A new leader continues an upkeep that an earlier leader has ordered
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 4000 ms
    And a new leader takes over
    And the simulation runs with a provider for 40000 ms
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: A new leader orders an instance at once if it was not ordered recently
    When wave 1 of instance "m-w0" is requested
    And the simulation runs with a provider for 1500 ms
    And a new leader takes over
    And wave 2 of instance "m-w1" is requested
    And the simulation runs with a provider for 1000 ms
    Then an instance was ordered within 1000 ms of the change of leader
    When the simulation runs with a provider for 40000 ms
    Then the wave is complete
    And no instance was ordered by two leaders within 3000 ms

  Scenario: A job is admitted when the service can still get spare instances
    Given a simulation of 1 workers without faults
    When 12 jobs of 8 tasks of 20000 ms are submitted at once
    Then some of them were rejected with a time to retry
    Given a simulation of 1 workers without faults
    And 9 instances are in the spare pool
    When 12 jobs of 8 tasks of 20000 ms are submitted at once
    Then none of them was rejected

  Scenario: A new leader counts workers that have not reported to it yet
    # Without them a pool seems too small for its work, and jobs are rejected.
    Given a simulation of 6 workers without faults
    And 9 instances are in the spare pool
    When 3 jobs of 8 tasks of 1500 ms are submitted at once
    And a new leader takes over and gets reports of only one worker
    And the simulation runs for 600 ms
    Then no instance is moving to another pool

  Scenario: A full service is divided in proportion to the teams' weights
    # The team with the smaller weight submits first and could fill the service
    # alone.
    When job "a" of 400 tasks is submitted with key "key-school"
    And job "b" of 400 tasks is submitted with key "key-coach"
    And the simulation runs for 10000 ms
    Then tasks of jobs "b" and "a" were started in the ratio 2 to 1, within 5%

  Scenario: Capacity that a team does not use is available to the others
    When job "a" of 400 tasks is submitted with key "key-school"
    And the simulation runs for 5000 ms
    Then all workers are full

  Scenario: A job that would complete too late within its team's cap is rejected
    # Half of the workers stay idle; the team may not use them.
    Given a simulation of 6 workers without faults in which teams are capped at 12 cores
    When 12 jobs of 8 tasks of 3000 ms are submitted at once
    Then some of them were rejected with a time to retry

  Scenario: An order without an answer is sent again
    Given the provider's first answer to each order is lost
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: A task that allows copies does not wait for the lease of a worker that was cut off
    When job "a" of 1 task of 8000 ms that allows copies is submitted
    And the simulation runs for 1000 ms
    And the worker that runs it is cut off
    And the simulation runs for 1500 ms
    Then 2 runs have started
    When the simulation runs for 9000 ms
    Then job "a" is "completed"

  Scenario: A new leader takes down no instance whose worker has not reported to it
    Given a standing job of 3 tasks of which 1 may be unavailable
    When the simulation runs for 75 ms
    And a wave of all instances with 3 at once is requested
    And a new leader takes over
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And never more than 1 standing task was interrupted at a time

  Scenario: A delayed report of an earlier worker does not end the upkeep of its instance
    # The next upkeep began while the first instance was still down.
    When worker "w0" is cut off with a report in flight
    And a new leader takes over
    And a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 4000 ms
    And the delayed report arrives
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: A worker that is back when its upkeep is ordered again stays in use
    # A new leader took the worker for ended and refused all its later reports.
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 1000 ms
    And a new leader takes over
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And every worker is known to the leader

  Scenario: A worker that is back when an order without an answer is sent again stays in use
    Given the provider's first answer to each order is lost
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 60000 ms
    Then the wave is complete
    And every worker is known to the leader

  Scenario: A worker that has left is not used again after a change of leader
    When worker "w0" shuts down in an orderly way
    And a new leader takes over
    And a delayed report of worker "w0" arrives
    Then the report is refused
    And worker "w0" gets no new runs when job "a" of 400 tasks is submitted

  Scenario: A worker that starts again after it has left is used
    When worker "w0" shuts down in an orderly way
    And a new leader takes over
    And worker "w0" starts again
    And the simulation runs for 1000 ms
    Then worker "w0" gets runs when job "a" of 400 tasks is submitted

  Scenario: A withdrawn key stays withdrawn after a restart and a late resend
    When key "key-school" is withdrawn in version 2
    And a new leader takes over
    And the first configuration is put in force again
    And job "a" is submitted with key "key-school"
    Then the answer is "BadKey"

  Scenario: A new leader takes back no run that an earlier leader has ordered
    Given a simulation of 3 workers without faults
    When job "a" of 1 step of 1 task of 9000 ms is submitted
    And the simulation runs for 1000 ms
    And a new leader hears the report before its order, but cannot answer it
    And the simulation runs for 3000 ms
    Then 1 run has started
    And no guarantee was violated
