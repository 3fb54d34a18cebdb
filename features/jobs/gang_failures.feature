Feature: Attempts of a gang

  Background:
    Given a simulation of 8 workers without faults
    And tasks may fail 2 times

  # Hollybrook, LOST: two members that failed in one run used up two attempts.
  Scenario Outline: Members that fail in the same run use up one attempt
    When job "a" of a gang of 4 tasks of 2000 ms with checkpoints is submitted
    And the simulation runs for 800 ms
    And <count> members of it fail at the same time
    And the simulation runs for 6000 ms
    Then job "a" is "completed"
    And no guarantee was violated

    Examples:
      | count |
      | 1     |
      | 2     |
      | 4     |

  Scenario: Members that fail in the same run use up one attempt although the leader changes
    When job "a" of a gang of 4 tasks of 2000 ms with checkpoints is submitted
    And the simulation runs for 800 ms
    And 2 members of it fail, one of which only the next leader hears
    And the simulation runs for 8000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: A gang that fails in two runs has failed
    When job "a" of a gang of 4 tasks of 2000 ms with checkpoints is submitted
    And the simulation runs for 800 ms
    And 2 members of it fail at the same time
    And the simulation runs for 1200 ms
    And 1 members of it fail at the same time
    And the simulation runs for 1000 ms
    Then job "a" is "failed"
