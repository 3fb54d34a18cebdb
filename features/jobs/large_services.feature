Feature: Large services after a fault of everything
  The leader is lost together with the leases of many workers or of all of them,
  which come back as they were, as new lives, under other ids or not at all.
  Clocks differ, orders are lost, and workers are grey or crash until the end.

  Scenario Outline: No task waits beside room in random runs
    When a large site is simulated with seed <seed>
    Then no task has waited for too long beside room for it
    And no guarantee was violated

    Examples:
      | seed |
      | 100  |
      | 1200 |
