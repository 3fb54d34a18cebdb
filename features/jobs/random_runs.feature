Feature: Jobs under losses, late reports, crashes and changes of leader

  Scenario Outline: Random runs of jobs keep the promises
    When random job simulations with seeds <first> to <last> are run
    Then no run has violated a guarantee

    Examples:
      | first | last |
      | 0     | 19   |
      | 200   | 205  |
      | 311   | 316  |
