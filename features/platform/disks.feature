Feature: Disks that are slow or do not answer

  Scenario: A leader whose disk does not answer delays no caller for long
    Given three replicas of the book with the timings of separate machines
    And configuration 1 is in force there
    When the leader's disk does not answer
    And configurations are put for 5000 ms
    Then each was in force within 3000 ms
    And no disk has blocked the main thread of a process
    When all disks answer again
    Then the newest configuration is read back at every replica that leads in turn

  Scenario: A follower whose disk does not answer has no effect on callers
    Given three replicas of the book with the timings of separate machines
    And configuration 1 is in force there
    When a follower's disk does not answer
    And configurations are put for 4000 ms
    Then each was in force within 300 ms
    And no disk has blocked the main thread of a process
    And the leader is the same
    When all disks answer again
    Then the newest configuration is read back at every replica that leads in turn

  Scenario: A leader whose disk takes 180 ms a sync delays no caller for long
    Given three replicas of the book with the timings of separate machines
    And configuration 1 is in force there
    When the leader's disk takes 180 ms a sync
    And configurations are put for 5000 ms
    Then each was in force within 3000 ms
    When all disks answer again
    Then the newest configuration is read back at every replica that leads in turn

  Scenario: Without a majority of disks nothing is acknowledged
    Given three replicas of the book with the timings of separate machines
    And configuration 1 is in force there
    When the leader's disk does not answer
    And a follower's disk does not answer
    And configurations are put for 3000 ms
    Then no replica has acknowledged any
    When all disks answer again
    And configurations are put for 3000 ms
    Then each was in force within 3000 ms
    And the newest configuration is read back at every replica that leads in turn

  Scenario Outline: A disk is lost, and soon after all power and another disk
    Given three replicas of the book with the timings of separate machines
    And configuration 1 is in force there
    When a follower's disk is lost and replaced at its address
    And configurations are put for 4000 ms
    And all replicas lose power, and <second> its disk
    And all replicas start again
    Then the newest configuration is read back within 5000 ms
    When configurations are put for 2000 ms
    Then each was in force within 3000 ms

    Examples:
      | second         |
      | the leader     |
      | the old voter  |
      | the new member |

  Scenario: A new disk that takes 180 ms a sync becomes a voter before the next loss
    Given three replicas of the book with the timings of separate machines
    And configuration 1 is in force there
    When a follower's disk is lost and replaced by one of 180 ms a sync
    And configurations are put for 4000 ms
    And all replicas lose power, and the old voter its disk
    And all replicas start again
    Then the newest configuration is read back within 5000 ms
