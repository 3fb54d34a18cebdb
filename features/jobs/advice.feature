Feature: Queues whose workers need an advisor's approval

  Background:
    Given a simulation of 8 workers without faults

  Scenario: Tasks run only where the advisor allows it
    Given an advisor that allows half of the workers
    When job "a" of 2 steps of 4 tasks is submitted
    And the simulation runs for 10000 ms
    Then job "a" is "completed"
    And the advisor was asked about each step once
    And no worker refused a start
    And no guarantee was violated

  Scenario: A queue without an advisor does not wait for an advisor's answers
    Given an advisor that allows half of the workers
    And the advisor does not answer
    And a second queue without an advisor
    When job "a" of 1 step of 4 tasks is submitted
    And job "b" is submitted at "/free/"
    And the simulation runs for 5000 ms
    Then 1 runs have started
    When the advisor answers again
    And the simulation runs for 5000 ms
    Then job "a" is "completed"

  Scenario: Expired tickets are requested again
    Given an advisor whose tickets are valid for 2500 ms
    When job "a" of 1 step of 40 tasks of 3000 ms is submitted
    And the simulation runs for 20000 ms
    Then job "a" is "completed"
    And no worker refused a start

  Scenario: The advisor is asked about more workers when few are allowed
    Given 40 more workers
    And an advisor that allows only "w30,w31"
    When job "a" of 1 step of 4 tasks is submitted
    And the simulation runs for 10000 ms
    Then job "a" is "completed"
    And no question named more than 30 workers

  Scenario: Tasks for different instances get enough approved workers
    Given 40 more workers
    And an advisor that allows only "w2,w20,w30,w40"
    When job "a" of 4 tasks on different instances is submitted
    And the simulation runs for 10000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: The advisor is asked about a step while the one before it runs
    Given an advisor that allows half of the workers
    When job "a" of 2 steps of 4 tasks is submitted
    And the simulation runs for 700 ms
    Then the advisor was asked about 2 steps

  Scenario: Random simulations with an advisor violate no guarantee
    When random job simulations with an advisor and seeds 0 to 11 are run
    Then no run has violated a guarantee
