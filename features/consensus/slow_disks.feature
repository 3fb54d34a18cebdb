Feature: The replicated log on slow and distant disks

  Scenario: A replaced disk that syncs slowly gets its vote while commands keep coming
    Given a simulated cluster of 3 cores with seed 21
    And a stable leader
    And 100 committed commands
    When a follower loses its disk
    And the follower's new disk takes 180 ms longer a sync
    And commands are proposed every 20 ms for 4000 ms
    Then its new disk has a vote

  Scenario: A replaced disk on a slower network gets its vote while commands keep coming
    Given a simulated cluster of 3 cores with seed 21
    And a stable leader
    And 100 committed commands
    When a follower loses its disk
    And the follower's new disk is 12 ms farther away
    And commands are proposed every 10 ms for 4000 ms
    Then its new disk has a vote
