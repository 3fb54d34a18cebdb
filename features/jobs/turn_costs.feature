Feature: What one turn of the leader may cost
  While a turn lasts, no report is answered. Terms and leases must not lapse,
  whatever callers hand in.

  # Guards against review/13, LOST: a step of 10,000 tasks held each leader for
  # 10 s a plan.
  Scenario Outline: A wide step costs no more than in proportion, <shape>
    When <shape> jobs of 150 and 300 tasks are played
    Then no step of the leader costs more than in proportion

    Examples:
      | shape      |
      | plain      |
      | apart      |
      | gang       |
      | gang apart |
      | one rack   |
      | grouped    |
      | standing   |
      | copies     |
      | data       |

  Scenario: A plan stops and goes on with the steps that it has not reached
    Given a simulation of six wide workers
    When job "a" of one step of 8000 small tasks is submitted
    And job "b" of one step of 4 small tasks is submitted
    And the simulation runs for 300 ms
    Then 4 tasks of job "b" have started
    When the simulation runs for 600 ms
    Then 8000 tasks of job "a" have started
    And no plan has assigned more than 1500 runs

  Scenario: Jobs that fit nowhere keep no others from their workers
    Given a simulation of six wide workers
    When 2000 jobs wait that no worker has room for
    And job "b" of one step of 4 small tasks is submitted
    And the simulation runs for 500 ms
    Then 4 tasks of job "b" have started

  Scenario: A turn handles as many calls as cost little
    Given 12 reports of 1000 runs wait
    And a job of 10000 tasks is submitted after them
    Then turns of 4,4,4,1 calls handle them in order

  Scenario: A turn handles many calls that list little
    Given 450 reports of 3 runs wait
    Then turns of 200,200,50 calls handle them in order
