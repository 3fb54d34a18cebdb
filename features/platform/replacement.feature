Feature: Replaced disks of nodes, on separate processes

  Jobs keep coming all the while. The next loss comes once the process with the
  empty disk has its vote.

  Scenario: A node replaced at another address stands in for the next loss
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    When a following node is lost for good and replaced at another address
    And it has its vote
    And the leading node is killed
    Then a further job is accepted
    And every job is completed in the end
    And no task ran twice

  Scenario: A node wiped at its address stands in for the next loss
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    When a following node loses its disk and starts again
    And it has its vote
    And the leading node loses its disk and all others lose power
    Then a further job is accepted
    And every job is completed in the end
    And no task ran twice
