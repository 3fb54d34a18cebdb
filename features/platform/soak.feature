Feature: Soak of the nodes, as a short seeded run

  Scenario: Nodes keep their guarantees under external faults
    When the node soak runs with seed 7 for 8 seconds
    Then it has found no breach
