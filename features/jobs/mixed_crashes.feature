Feature: Tasks that crash workers, among other faults

  Scenario Outline: Deadly tasks are given up, and sound ones only after two crashes under them
    When random simulations of deadly tasks among other faults with seeds <first> to <last> are run
    Then no run has violated a guarantee

    Examples:
      | first | last |
      | 0     | 7    |
      | 31    | 31   |
      | 57    | 57   |
      | 107   | 107  |
      # A delayed report was taken to show that a run was never received.
      | 4009  | 4009 |
