Feature: Long randomised runs of the planner keep its guarantees

  Scenario Outline: Seed <seed>
    Given a randomised fleet with seed <seed>
    When <steps> fleet steps pass with faults of every kind
    Then no fleet guarantee was broken and the fleet settles

    Examples:
      | seed | steps |
      | 1    | 400   |
      | 2    | 400   |
      | 3    | 400   |
      | 4    | 400   |
      | 5    | 400   |
