Feature: Votes move between cores where the number of voters is limited

  Scenario: A lost leader counts as silent from its last message on
    Given voters that tolerate 1 loss, with 2.5 s to catch up
    When cores are replaced by new ones and others are lost after the time to catch up
      | first  | after_ms | second   | fault  | seeds             |
      | leader | 200      | follower | killed | 4 6 7 10 12 14 16 |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A voter that returns before it is demoted leaves no surplus vote
    Given a simulated cluster of 3 cores with at most 3 voters, seed 31
    And a stable leader
    When a follower is cut off until a further core gets its vote
    Then the membership has 3 voters

  Scenario: A core starts to catch up before a silent voter is considered lost
    Given a simulated cluster of 3 cores with at most 3 voters, seed 32
    And a stable leader
    When a follower is cut off for 1500 ms while a further core waits
    Then the further core was a learner by then
    And the follower still has its vote
    And the membership has 3 voters

  Scenario: A restarted voter keeps its vote where no core waits to join
    Given a simulated cluster of 3 cores with at most 3 voters, seed 33
    And a stable leader
    When a follower announces its stop for 1500 ms and is started again
    Then the follower still has its vote
    And the membership has 3 voters
