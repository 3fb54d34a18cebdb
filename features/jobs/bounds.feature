Feature: Deployments with other bounds

  Scenario: A new leader whose clock is ahead orders nothing within a longer holder's time
    # It took an order on record for one that had reached the provider long ago.
    Given a simulation of 3 workers without faults and with these bounds
      | bound           | ms   |
      | holder_lease_ms | 6000 |
    When wave 1 of instance "m-w0" is requested
    And the simulation runs with a provider for 5000 ms
    And a new leader whose clock is 4500 ms ahead takes over
    And wave 2 of instance "m-w0" is requested
    And the simulation runs with a provider for 40000 ms
    Then the wave is complete
    And no instance was ordered by two leaders within 6000 ms

  Scenario: A new leader whose clock is ahead still knows the jobs that ended
    Given a simulation of 3 workers without faults and with these bounds
      | bound         | ms    |
      | keep_ended_ms | 10000 |
    When job "a" of 1 step of 1 task is submitted
    And the simulation runs for 3000 ms
    And a new leader whose clock is 4500 ms ahead takes over
    And the simulation runs for 6000 ms
    Then job "a" is "completed"
    When the simulation runs for 10000 ms
    Then job "a" is not known

  Scenario: A task whose worker is silent counts as away before a shorter bound
    # An order is on its way for up to a second; the task was counted as at work
    # until 1.5 s after its worker's last report.
    Given a simulation of 3 workers without faults and with these bounds
      | bound   | ms   |
      | unavailable_ms | 2250 |
    And a standing job of 3 tasks of which 1 may be unavailable
    When the worker that runs it falls silent
    And the simulation runs with a provider for 1150 ms
    And wave 1 of instance "m-w1" is requested
    And the simulation runs with a provider for 1000 ms
    Then no instance was ordered

  Scenario: A serving task is relieved within a shorter bound
    # Three halvings of the pace and the tail's own span took longer.
    Given a simulation of 1 workers without faults and with these bounds
      | bound   | ms   |
      | over_target_ms | 2000 |
    And a job of 1 serving and 2 filling tasks
    When the serving task's tail is 120 ms of its 100 ms for 1300 ms
    Then the worker was told to stop both filling tasks

  Scenario: A run that restores its checkpoint for a longer bound does not stand still
    # It was taken away before it went on, and so was each run after it.
    Given a simulation of 3 workers without faults and with these bounds
      | bound      | ms   |
      | restore_ms | 1200 |
    And each run restores its checkpoint for 1200 ms
    When job "a" of 1 step of 1 task of 3000 ms is submitted
    And the simulation runs for 4000 ms
    Then job "a" is "completed"
    And 1 run has started

  Scenario: A wave whose upkeeps take longer does not wait for tasks until it is late
    Given a simulation of 3 workers without faults and with these bounds
      | bound     | ms   |
      | upkeep_ms | 4000 |
    And upkeeps take 4000 ms
    When job "a" of 1 step of 48 tasks of 20000 ms is submitted
    And the simulation runs with a provider for 500 ms
    And a wave of all instances one by one within 16000 ms is requested
    And the simulation runs with a provider for 16000 ms
    Then the wave is complete
