Feature: Jobs run once, within limits, and failures are blamed rightly

  Scenario: A worker that fails everything is set aside, the jobs are not
    Given a fleet of jobs with seed 1
    And the fleet worker "orders-0" fails every task
    When 12 good jobs and 0 bad jobs are handed in
    Then every good job is done and every bad job is parked
    And only the fleet workers "orders-0" were quarantined
    And at most 5 fleet tasks were wasted on "orders-0"
    When the fleet worker "orders-0" is mended and its time has passed
    Then only the fleet workers "none" were quarantined

  Scenario Outline: A burst of <bad> bad jobs quarantines no worker, seed <seed>
    Given a fleet of jobs with seed <seed>
    When <good> good jobs and <bad> bad jobs are handed in
    Then every good job is done and every bad job is parked
    And only the fleet workers "none" were quarantined

    Examples:
      | seed | good | bad |
      | 2    | 0    | 20  |
      | 3    | 10   | 10  |
      | 4    | 20   | 5   |

  Scenario: A job that can never run is parked at once
    Given a fleet of jobs with seed 1
    When a job asks for more than any worker of its pool has
    Then it is parked in the first plan with the reason

  Scenario: Urgent work starts in time where only lesser work makes room
    Given a fleet of jobs with seed 1
    When lesser jobs fill the pool and an urgent job comes
    Then the urgent job starts within 2200 ms

  Scenario: A team's upper limit holds for its tasks
    Given a fleet of jobs with seed 1
    When a team with an upper limit of 5 hands in 12 tasks
    Then all tasks succeeded once and the limit was never exceeded

  Scenario: A batch of cancellations costs one plan
    Given a fleet of jobs with seed 1
    When 30 jobs are withdrawn at once while they run
    Then one plan ends them all and nothing is left running

  Scenario Outline: Under faults every task succeeds once, seed <seed>
    Given a fleet of jobs with seed <seed>
    When 25 jobs are handed in while faults strike
    Then every good job is done and every bad job is parked

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |
      | 14   |
