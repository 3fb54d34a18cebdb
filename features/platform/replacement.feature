Feature: Replaced disks of nodes, on separate processes

  Jobs are submitted throughout. The next loss follows as soon as the process
  with the empty disk is a voter.

  Scenario: After a replacement at another address, the next loss is tolerated
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    When a follower is lost permanently and replaced at another address
    And it has become a voter
    And the leading node is killed
    Then a further job is accepted
    And every job is eventually completed
    And no task ran twice

  Scenario: After a wipe at the same address, the next loss is tolerated
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    When a follower loses its disk and starts again
    And it has become a voter
    And the leading node loses its disk and all others lose power
    Then a further job is accepted
    And every job is eventually completed
    And no task ran twice
