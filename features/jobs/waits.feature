Feature: Tasks do not wait beside room
  While less than half of a service is in use, no job stays without a running
  task for 3 s if there is room for it twice over. For a standing task that holds
  however full the service is.

  Scenario Outline: A job runs on workers in doubt if it fits on no other
    Given a simulation of 4 watched workers
    And <doubtful> workers are in doubt
    And the others are full
    When a job of <kind> is submitted
    And 6 s pass under the watch
    Then the watch reports nothing
    And the job has <state> in less than 3 s

    Examples:
      | doubtful | kind                       | state     |
      | 3        | 1 task of 4 cores          | begun     |
      | 3        | 4 tasks of 4 cores         | begun     |
      | 3        | a gang of 3 at 4 cores     | begun     |
      | 3        | a step of 2 spread tasks   | begun     |
      | 3        | 1 standing task of 4 cores | begun     |
      | 1        | 1 task of 4 cores          | not begun |
      | 1        | 1 standing task of 4 cores | begun     |

  Scenario: A new leader lets jobs run on workers in doubt, too
    Given a simulation of 4 watched workers
    And 3 workers are in doubt
    And the others are full
    When a job of 1 task of 4 cores is submitted while the plan stands still
    And a new leader starts from a snapshot and doubts the same workers
    And 6 s pass under the watch
    Then the watch reports nothing

  Scenario Outline: Suspects that run on close no worker under a new leader's clock
    Given a simulation of 4 watched workers
    And a suspect runs on each worker for 1 s
    When a new leader starts whose clock is <ahead> ms ahead
    And a job of <kind> is submitted
    And 8 s pass under the watch
    Then the watch reports nothing
    And the job has begun in less than 3 s

    Examples:
      | ahead | kind                       |
      | 0     | 1 task of 4 cores          |
      | 6000  | 1 task of 4 cores          |
      | -6000 | 1 task of 4 cores          |
      | -6000 | a gang of 3 at 4 cores     |
      | -6000 | 1 standing task of 4 cores |

  # Hollybrook grown: 1,027 jobs waited beside workers whose room was mostly free.
  Scenario Outline: Suspects that start on all workers in turn close them to no job for 3 s
    Given a simulation of 4 watched workers
    And on each worker a suspect of another job has always just started
    When a job of <kind> is submitted
    And 8 s pass under the watch
    Then the watch reports nothing
    And the job has begun in less than 3 s

    Examples:
      | kind                       |
      | 1 task of 4 cores          |
      | 4 tasks of 4 cores         |
      | a gang of 3 at 4 cores     |
      | a step of 2 spread tasks   |
      | 1 standing task of 4 cores |

  Scenario: Suspects that start on all workers in turn keep a busy pool to themselves
    Given a simulation of 4 watched workers
    And 0 workers are in doubt
    And each worker is used by three quarters
    And on each worker a suspect of another job has always just started
    When a job of 1 task of 4 cores is submitted
    And 6 s pass under the watch
    Then the watch reports nothing
    And the job has not begun in less than 3 s

  Scenario: A job whose workers are silent waits since they fell silent
    Given a simulation of 4 watched workers
    And on each worker a suspect of another job has always just started
    And a job waits that is larger than each worker
    When a job whose only run is on a worker that crashes is submitted
    And 8 s pass under the watch
    Then the watch reports nothing
    And the job has a second run within 300 ms of the loss of the first

  # It would be given up for the crash of another task.
  Scenario: A suspect that the next crash would give up shares no worker
    Given a simulation of 4 watched workers
    And on each worker a suspect of another job has always just started
    When a job of 1 task of 4 cores is submitted that two workers have crashed under
    And 4 s pass under the watch
    Then the job has not begun in less than 3 s

  # Hollybrook: 365 jobs waited beside the few workers that were back.
  Scenario: Workers that have crashed do not make the others count as busy
    Given a simulation of 4 watched workers
    And each worker is used by three quarters
    And on each worker a suspect of another job has always just started
    And 3 workers fall silent
    When a job of 1 task of 4 cores is submitted
    And 3 s pass under the watch
    Then the job has begun in less than 3 s
