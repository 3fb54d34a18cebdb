Feature: Deployments with other bounds than the default ones

  Scenario: A new leader whose clock is ahead sends no order within a longer holder lease
    # By its own clock, the recorded order seemed to have reached the provider long
    # ago.
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

  Scenario: A new leader whose clock is ahead keeps the jobs that have ended
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

  Scenario: A task whose worker does not report counts as unavailable within a shorter bound
    # An order takes up to a second to reach the provider, and the task counted as
    # available until 1.5 s after its worker's last report.
    Given a simulation of 3 workers without faults and with these bounds
      | bound          | ms   |
      | unavailable_ms | 2250 |
    And a standing job of 3 tasks of which 1 may be unavailable
    When the worker that runs it is cut off
    And the simulation runs with a provider for 1150 ms
    And wave 1 of instance "m-w1" is requested
    And the simulation runs with a provider for 1000 ms
    Then no instance was ordered

  Scenario: Filler tasks beside a slow serving task are stopped within a shorter bound
    # Halving the pace three times, besides the time over which the tail latency
    # is measured, took longer.
    Given a simulation of 1 workers without faults and with these bounds
      | bound          | ms   |
      | over_target_ms | 2000 |
    And a job of 1 serving and 2 filler tasks
    When the serving task's tail is 120 ms of its 100 ms for 1300 ms
    Then the worker was ordered to stop both filler tasks

  Scenario: A run that restores its checkpoint within a longer bound does not count as stalled
    # It was withdrawn before it had resumed, and so was each run after it.
    Given a simulation of 3 workers without faults and with these bounds
      | bound      | ms   |
      | restore_ms | 1200 |
    And each run takes 1200 ms to restore its checkpoint
    When job "a" of 1 step of 1 task of 3000 ms is submitted
    And the simulation runs for 4000 ms
    Then job "a" is "completed"
    And 1 run has started

  Scenario: A wave whose upkeeps take longer does not become late by waiting for tasks
    Given a simulation of 3 workers without faults and with these bounds
      | bound     | ms   |
      | upkeep_ms | 4000 |
    And upkeeps take 4000 ms
    When job "a" of 1 step of 48 tasks of 20000 ms is submitted
    And the simulation runs with a provider for 500 ms
    And a wave of all instances one by one within 16000 ms is requested
    And the simulation runs with a provider for 16000 ms
    Then the wave is complete
