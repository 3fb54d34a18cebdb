Feature: Nodes refuse what exceeds the limits in force, and serve the rest

  Scenario: The limits of the configuration hold on a node without a disk
    Given a site of four nodes, three with a disk, and a body limit of 5000
    Then a caller's body of 5001 bytes is answered with 413
    And a caller's chunked body of 5001 bytes is answered with 413
    And a caller's body of 5000 bytes is served
    And a caller's chunked body of 5000 bytes is served
    And a head of 16000 bytes is served, and one of 17000 answered with 431
    And a heartbeat of 4000000 bytes is answered with 200
    And a heartbeat of 4194305 bytes is answered with 413
    And a control request that nobody reads on is answered on every port
    And the metrics name what was refused
