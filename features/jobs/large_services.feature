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

  Scenario: No task waits beside room while demand turns and messages are lost
    When a site whose demand turns is simulated with seed 7
    Then no task has waited for too long beside room for it
    And no guarantee was violated

  # A wave at the closing fault left tasks waiting beside instances that drained.
  Scenario Outline: No task waits beside room in small services with a wave
    When small services are simulated with seed <seed>
    Then no task has waited for too long beside room for it
    And no guarantee was violated

    Examples:
      | seed |
      | 68   |
      | 90   |
