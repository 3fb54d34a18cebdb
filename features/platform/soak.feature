Feature: The soak of nodes, a short seeded run

  Scenario: Nodes keep the promises under faults from outside
    When the node soak runs with seed 7 for 8 seconds
    Then it has found no breach
