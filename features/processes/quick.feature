Feature: Promises hold on running processes while one of them is lost

  Scenario Outline: <fault> of the <role>
    When the cell "<fault>/<role>" of the fault matrix runs with seed <seed>
    Then no request is lost, doubled, crossed or falsely refused
    And no team passes its upper limit and no configuration reverts

    Examples:
      | fault        | role           | seed |
      | kill         | dispatcher     | 11   |
      | kill         | control-leader | 12   |
      | planned stop | entry          | 13   |
