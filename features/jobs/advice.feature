Feature: Queues whose workers an advisor approves

  Background:
    Given a calm world of 8 workers

  Scenario: Tasks run only where the advisor allows it
    Given an advisor that allows half of the workers
    When job "a" of 2 steps of 4 tasks is handed in
    And 10000 ms pass for the jobs
    Then job "a" is "completed"
    And each step was asked about once
    And no worker has refused a start
    And no promise was broken

  Scenario: A queue without an advisor is not held up by a silent one
    Given an advisor that allows half of the workers
    And the advisor is silent
    And a second queue needs no advice
    When job "a" of 1 step of 4 tasks is handed in
    And job "b" is handed in at "/free/"
    And 5000 ms pass for the jobs
    Then 1 runs have started
    When the advisor answers again
    And 5000 ms pass for the jobs
    Then job "a" is "completed"

  Scenario: Tickets that have run out are asked for again
    Given an advisor whose tickets hold for 2500 ms
    When job "a" of 1 step of 40 tasks of 3000 ms is handed in
    And 20000 ms pass for the jobs
    Then job "a" is "completed"
    And no worker has refused a start

  Scenario: The advisor is asked about more workers when few are allowed
    Given 40 more workers
    And an advisor that allows only "w30,w31"
    When job "a" of 1 step of 4 tasks is handed in
    And 10000 ms pass for the jobs
    Then job "a" is "completed"
    And no question named more than 30 workers

  Scenario: Tasks that must be apart find enough approved workers
    Given 40 more workers
    And an advisor that allows only "w2,w20,w30,w40"
    When job "a" of 4 tasks apart from each other is handed in
    And 10000 ms pass for the jobs
    Then job "a" is "completed"
    And no promise was broken

  Scenario: A step is asked about while the one before it runs
    Given an advisor that allows half of the workers
    When job "a" of 2 steps of 4 tasks is handed in
    And 700 ms pass for the jobs
    Then the advisor was asked about 2 steps

  Scenario: Random runs with an advisor keep the promises
    When random runs of jobs with an advisor and the seeds 0 to 11 are played
    Then no run has broken a promise
