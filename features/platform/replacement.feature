Feature: Replaced disks of nodes, on separate processes

  Jobs keep coming all the while. The next loss comes `catch_up_s` after the start
  of the process with the empty disk.

  Scenario: A node replaced at another address votes before the next loss
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    When a following node is lost for good and replaced at another address
    And it has had its time to catch up
    And the leading node is killed
    Then a further job is accepted within 15 s
    And every job is completed in the end
    And no task ran twice

  Scenario: A node wiped at its address votes before the next loss
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    When a following node loses its disk and starts again
    And it has had its time to catch up
    And the leading node loses its disk and all others lose power
    Then a further job is accepted within 15 s
    And every job is completed in the end
    And no task ran twice
