Feature: An instance that restarts during a move serves one pool only

  Scenario: An instance fails before it is assigned and restarts in its old pool
    Given a fleet in which the order to assign a moving instance is lost
    When the moving instance fails and restarts in its old pool
    Then it joins its new pool and never counted as serving another one

  Scenario: A failed instance that was replaced restarts in its old pool
    Given a fleet with a failed instance that its pool has replaced
    When the replaced instance restarts and another pool needs it
    Then it was assigned to the other pool only after it had drained
