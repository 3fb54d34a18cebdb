Feature: Jobs under losses, late reports, crashes and changes of leader

  Scenario Outline: Random runs of jobs keep the promises
    When random runs of jobs with the seeds <first> to <last> are played
    Then no run has broken a promise

    Examples:
      | first | last |
      | 0     | 19   |
      | 200   | 205  |
      | 311   | 316  |
