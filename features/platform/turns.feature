Feature: The leader's turns are bounded

  # Hollybrook grown: 380 submissions came into one turn, which took 1.2 s.
  Scenario: Calls that arrive while an entry is not committed share no turn
    Given three replicas of the book
    And configuration 1 is in force there
    And the calls of each turn are counted
    When 1000 submissions reach the leader at once
    Then all of them are handled
    And no turn handled more than 200 calls
