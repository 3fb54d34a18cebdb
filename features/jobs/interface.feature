Feature: The job interface as callers, workers and operators see it
  Random configurations, jobs of every shape and disturbances between any two
  events. docs/PROOF.md lists the sentences of the users' pages that are checked.

  Scenario Outline: No seed breaks a rule
    When the job interface is checked with seeds <first> to <last>
    Then no rule was broken

    Examples:
      | first | last |
      | 0     | 89   |

  Scenario: The check replays a seed exactly
    When seed 3 of the job interface is run twice
    Then both traces are the same

  Scenario: The check reaches every shape of jobs
    When jobs are drawn with seeds 0 to 99
    Then each shape was drawn
