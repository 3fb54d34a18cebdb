Feature: The promises hold on running processes while one of them is killed or stopped

  Scenario Outline: <fault> of the <role>
    When the cell "<fault>/<role>" of the fault matrix runs with seed <seed>
    Then no request is lost, doubled, crossed or falsely refused as not run
    And no team exceeds its upper limit and no configuration is reverted

    Examples:
      | fault        | role           | seed |
      | kill         | dispatcher     | 11   |
      | kill         | control-leader | 12   |
      | planned stop | entry          | 13   |

  Scenario: A run without an end counts as ended at the first kill of its backend server
    Given a run without an end, by a team with an upper limit of 1, and two later kills of its backend server
    When another run of the team starts after the first kill
    Then the check of upper limits finds no violation
