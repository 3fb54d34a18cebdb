Feature: Jobs follow queues and teams that are renamed

  Background:
    Given a simulation of 4 workers without faults

  # Hollybrook, LOST and UNASKED: a renamed route answered 410 for its jobs.
  Scenario Outline: A job stays reachable when its <what> is renamed
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the <what> is renamed
    Then job "a" is "active"
    When job "a" is submitted again
    Then the call is acknowledged
    When job "a" is cancelled
    Then the call is acknowledged
    When the simulation runs for 4000 ms
    Then 1 run has started
    And no guarantee was violated

    Examples:
      | what           |
      | queue          |
      | team           |
      | queue and team |

  Scenario: A job is known to the queue that takes its place later
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the queue is removed
    And the queue is renamed
    Then job "a" is "active"

  Scenario: Jobs keep their places when two queues exchange their names
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the queues exchange their names
    Then job "a" is "active"

  # Found by the random check of the job interface, LOST and ROUTE.
  Scenario Outline: A job keeps its place when another queue takes the name of its removed queue
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And <change>
    And the queue is back under another name
    Then job "a" is "active"

    Examples:
      | change                                                                 |
      | another queue takes its name as it is removed                          |
      | the queue is removed and another queue takes its name                  |
      | the queue is removed and another queue takes its name, then a new leader |

  # Found by the random check of the job interface, LOST.
  Scenario Outline: A team keeps its jobs when another team takes its name
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And <change>
    Then job "a" is unknown to the other team
    When the team is back under another name
    Then job "a" is "active"

    Examples:
      | change                                                                |
      | another team takes its name as it is removed                          |
      | the team is removed and another team takes its name                   |
      | the team is removed and another team takes its name, then a new leader |

  Scenario: Waiting jobs are counted under the new name of their queue
    When 3 jobs wait behind a full pool
    And the queue is renamed
    Then 3 jobs are pending

  Scenario: Running tasks of a renamed team count against its cap
    Given a cap of 2000 milli-cores for each team
    When job "a" of 1 step of 2 tasks of 9000 ms is submitted
    And the simulation runs for 1000 ms
    And the team is renamed
    And job "b" of 1 step of 1 task of 9000 ms is submitted
    And the simulation runs for 2000 ms
    Then 2 runs have started

  Scenario: A team keeps its jobs when its keys are exchanged
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the team gets other keys
    Then job "a" is "active" for the new key

  Scenario: A snapshot remembers teams that were removed
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the team is removed
    And a new leader takes over
    And the team is renamed
    Then job "a" is "active"
