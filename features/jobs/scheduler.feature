Feature: Jobs of teams, as the scheduler decides on them

  Background:
    Given a calm world of 3 workers

  Scenario: A job that is handed in again meets the first outcome
    When job "a" of 1 step of 2 tasks is handed in
    And job "a" of 1 step of 2 tasks is handed in
    Then the answer is "Done"
    When 5000 ms pass for the jobs
    Then job "a" is "completed"
    And 2 runs have started

  Scenario: An id that another team uses is refused
    When job "a" of 1 step of 2 tasks is handed in
    And job "a" is handed in with key "key-school"
    Then the answer is "BadRequest"

  Scenario: Unknown queues and keys
    When job "a" is handed in at "/none/"
    Then the answer is "UnknownQueue"
    When job "a" is handed in with key "nobody"
    Then the answer is "BadKey"

  Scenario: A cancelled job stops, and stays cancelled
    When job "a" of 1 step of 3 tasks of 60000 ms is handed in
    And 1000 ms pass for the jobs
    And job "a" is cancelled
    And 1000 ms pass for the jobs
    Then job "a" is "cancelled"
    And nothing runs

  Scenario: A later step waits for the whole earlier one
    When job "a" of 3 steps of 2 tasks is handed in
    And 20000 ms pass for the jobs
    Then job "a" is "completed"
    And no promise was broken

  Scenario: A job whose task fails too often has failed
    Given every run fails
    When job "a" of 1 step of 1 task is handed in
    And 20000 ms pass for the jobs
    Then job "a" is "failed"
    And 3 runs have started

  Scenario: A run that stands still is taken away from its worker
    Given one worker lets its runs stand still
    When job "a" of 1 step of 6 tasks is handed in
    And 7000 ms pass for the jobs
    Then job "a" is "completed"
    And no promise was broken

  Scenario: A worker that fails everything costs no job its attempts
    Given one worker fails all that it starts
    When job "a" of 1 step of 6 tasks is handed in
    And job "b" of 2 steps of 6 tasks is handed in
    And 15000 ms pass for the jobs
    Then job "a" is "completed"
    And job "b" is "completed"
    And at most 12 runs ended as failed

  Scenario: The runs of a restarted worker are started again at once
    When job "a" of 1 step of 3 tasks of 10000 ms is handed in
    And 1000 ms pass for the jobs
    And every worker starts again
    And 1000 ms pass for the jobs
    Then 6 runs have started
    And no promise was broken

  Scenario: The runs of a silent worker wait for its lease to run out
    When job "a" of 1 step of 1 task of 60000 ms is handed in
    And 1000 ms pass for the jobs
    And the worker that runs it falls silent
    And 3000 ms pass for the jobs
    Then 1 run has started
    When 2500 ms pass for the jobs
    Then 2 runs have started
    And no promise was broken

  Scenario: A late report of a worker is no news
    When job "a" of 1 step of 1 task of 60000 ms is handed in
    And 1000 ms pass for the jobs
    And the worker that runs it repeats an old report
    Then the answer is "BadRequest"

  Scenario: A new leader goes on with what is on record
    When job "a" of 2 steps of 2 tasks is handed in
    And 600 ms pass for the jobs
    And another scheduler takes over
    And 20000 ms pass for the jobs
    Then job "a" is "completed"
    And no promise was broken

  Scenario: A dropped queue's jobs go on
    When job "a" of 2 steps of 2 tasks is handed in
    And a configuration without queues is put in force
    And 20000 ms pass for the jobs
    Then the book says that job "a" is "completed"

  Scenario: A lower version changes nothing and is acknowledged
    When a configuration without queues is put in force
    And the first configuration is put in force again
    Then the answer is "Done"
    And version 2 is in force

  Scenario: Two upkeeps at once never take a standing step beyond what it may miss
    Given a standing job of 3 tasks that may miss 1
    When a wave of all instances with 3 at once is asked for
    And 60000 ms pass for the jobs with a provider
    Then the wave is complete
    And never more than 1 standing task was interrupted at a time

  Scenario: An upkeep that was ordered by an earlier leader is carried on
    When a wave of all instances with 1 at once is asked for
    And 4000 ms pass for the jobs with a provider
    And another scheduler takes over
    And 40000 ms pass for the jobs with a provider
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: A new leader orders at once what nobody has ordered lately
    When wave 1 of instance "m-w0" is asked for
    And 1500 ms pass for the jobs with a provider
    And another scheduler takes over
    And wave 2 of instance "m-w1" is asked for
    And 1000 ms pass for the jobs with a provider
    Then an instance was ordered within 1000 ms of the change
    When 40000 ms pass for the jobs with a provider
    Then the wave is complete
    And no instance was ordered by two leaders within 3000 ms

  Scenario: A job is taken in when spare instances can still come
    Given a calm world of 1 workers
    When 12 jobs of 8 tasks of 20000 ms are handed in at once
    Then some of them were turned away with a time to come back
    Given a calm world of 1 workers
    And 9 instances are in the spare pool
    When 12 jobs of 8 tasks of 20000 ms are handed in at once
    Then none of them was turned away

  Scenario: A new leader counts workers that it has not heard yet
    # Without them a pool looks too small for what it has to do, and jobs are
    # turned away.
    Given a calm world of 6 workers
    And 9 instances are in the spare pool
    When 3 jobs of 8 tasks of 1500 ms are handed in at once
    And another scheduler takes over and hears only one worker
    And 600 ms pass for the jobs
    Then no instance is on its way to another pool

  Scenario: A full service is divided by the teams' weights
    # The team with the smaller weight comes first and would fill it alone.
    When job "a" of 400 tasks is handed in with key "key-school"
    And job "b" of 400 tasks is handed in with key "key-coach"
    And 10000 ms pass for the jobs
    Then the tasks of jobs "b" and "a" were started as 2 to 1, within 5%

  Scenario: What a team leaves of its share goes to the others
    When job "a" of 400 tasks is handed in with key "key-school"
    And 5000 ms pass for the jobs
    Then all workers are full

  Scenario: What a team's cap lets end too late is turned away at once
    # Half of the workers stay idle; the team may not use them.
    Given a calm world of 6 workers in which teams are capped at 12 cores
    When 12 jobs of 8 tasks of 3000 ms are handed in at once
    Then some of them were turned away with a time to come back

  Scenario: An order that got no answer is given again
    Given the provider's first answer to each order is lost
    When a wave of all instances with 1 at once is asked for
    And 60000 ms pass for the jobs with a provider
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: A task that allows copies does not wait for a silent worker's lease
    When job "a" of 1 task that allows copies is handed in for 8000 ms
    And 1000 ms pass for the jobs
    And the worker that runs it falls silent
    And 1500 ms pass for the jobs
    Then 2 runs have started
    When 9000 ms pass for the jobs
    Then job "a" is "completed"

  Scenario: A new leader takes down nothing whose worker it has not heard
    Given a standing job of 3 tasks that may miss 1
    When 75 ms pass for the jobs
    And a wave of all instances with 3 at once is asked for
    And another scheduler takes over
    And 60000 ms pass for the jobs with a provider
    Then the wave is complete
    And never more than 1 standing task was interrupted at a time

  Scenario: A late report of an earlier worker does not end its instance's upkeep
    # The next upkeep began while the first instance was still down.
    When worker "w0" falls silent with a report on its way
    And another scheduler takes over
    And a wave of all instances with 1 at once is asked for
    And 4000 ms pass for the jobs with a provider
    And the late report arrives
    And 60000 ms pass for the jobs with a provider
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: A worker that is back when its upkeep is ordered again stays in use
    # A new leader took it for ended, and refused its reports from then on.
    When a wave of all instances with 1 at once is asked for
    And 1000 ms pass for the jobs with a provider
    And another scheduler takes over
    And 60000 ms pass for the jobs with a provider
    Then the wave is complete
    And every worker is known

  Scenario: A worker that is back when an order without an answer is given again stays in use
    Given the provider's first answer to each order is lost
    When a wave of all instances with 1 at once is asked for
    And 60000 ms pass for the jobs with a provider
    Then the wave is complete
    And every worker is known
