Feature: A bounded number of votes moves between cores

  Scenario: A lost leader counts as silent from its last message on
    Given voters that bear 1 loss, with 2.5 s to catch up
    When cores are replaced elsewhere and others are lost once those had their time
      | first  | after_ms | second   | fault  | seeds             |
      | leader | 200      | follower | killed | 4 6 7 10 12 14 16 |
    Then each run commits again within 3 election timeouts and loses nothing

  Scenario: A voter that is back before it is demoted leaves no vote too many
    Given a world of 3 cores of which 3 vote, seed 31
    And a stable leader
    When a follower is cut off until a further core gets its vote
    Then the membership has 3 voters

  Scenario: A core catches up while it is open whether a voter is lost
    Given a world of 3 cores of which 3 vote, seed 32
    And a stable leader
    When a follower is cut off for 1500 ms while a further core waits
    Then the further core was a learner by then
    And the follower still has its vote
    And the membership has 3 voters

  Scenario: A voter that is restarted keeps its vote where no core waits
    Given a world of 3 cores of which 3 vote, seed 33
    And a stable leader
    When a follower tells of its stop for 1500 ms and is started again
    Then the follower still has its vote
    And the membership has 3 voters
