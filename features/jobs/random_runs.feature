Feature: Jobs under lost and delayed reports, crashes and changes of leader

  Scenario Outline: Random simulations of jobs keep the guarantees
    When random job simulations with seeds <first> to <last> are run
    Then no run has violated a guarantee

    Examples:
      | first | last |
      | 0     | 19   |
      | 200   | 205  |
      | 311   | 316  |
