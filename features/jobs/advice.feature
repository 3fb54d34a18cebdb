Feature: Queues whose workers an advisor approves

  Background:
    Given a simulation of 8 workers without faults

  Scenario: Tasks run only where the advisor allows it
    Given an advisor that allows half of the workers
    When job "a" of 2 steps of 4 tasks is submitted
    And the simulation runs for 10000 ms
    Then job "a" is "completed"
    And each step was asked about once
    And no worker has refused a start
    And no guarantee was violated

  Scenario: A queue without an advisor is not held up by a silent one
    Given an advisor that allows half of the workers
    And the advisor is silent
    And a second queue needs no advice
    When job "a" of 1 step of 4 tasks is submitted
    And job "b" is submitted at "/free/"
    And the simulation runs for 5000 ms
    Then 1 runs have started
    When the advisor answers again
    And the simulation runs for 5000 ms
    Then job "a" is "completed"

  Scenario: Tickets that have run out are asked for again
    Given an advisor whose tickets hold for 2500 ms
    When job "a" of 1 step of 40 tasks of 3000 ms is submitted
    And the simulation runs for 20000 ms
    Then job "a" is "completed"
    And no worker has refused a start

  Scenario: The advisor is asked about more workers when few are allowed
    Given 40 more workers
    And an advisor that allows only "w30,w31"
    When job "a" of 1 step of 4 tasks is submitted
    And the simulation runs for 10000 ms
    Then job "a" is "completed"
    And no question named more than 30 workers

  Scenario: Tasks that must be apart find enough approved workers
    Given 40 more workers
    And an advisor that allows only "w2,w20,w30,w40"
    When job "a" of 4 tasks apart from each other is submitted
    And the simulation runs for 10000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: A step is asked about while the one before it runs
    Given an advisor that allows half of the workers
    When job "a" of 2 steps of 4 tasks is submitted
    And the simulation runs for 700 ms
    Then the advisor was asked about 2 steps

  Scenario: Random runs with an advisor keep the promises
    When random job simulations with an advisor and seeds 0 to 11are run
    Then no run has violated a guarantee
