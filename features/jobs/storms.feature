Feature: Sound jobs are served while others crash their workers

  # Hollybrook grown: each crash took tasks of about ten jobs along, and 574 jobs
  # were left waiting.
  Scenario Outline: A storm of deadly jobs takes the sound ones along
    When jobs arrive for 5 s at 3 times what <workers> workers hold, of which <percent> of 100 are deadly, with seed <seed>
    Then a crash takes tasks of at most 2 jobs at the median
    And no sound job is given up
    And no job waits for 3 s beside room for it

    Examples:
      | workers | percent | seed |
      | 18      | 10      | 1    |
      | 18      | 30      | 2    |
      | 18      | 60      | 3    |

  # A rack that lost power was taken for a storm, and jobs were kept apart.
  Scenario: A rack that loses power is no storm
    When a rack of a busy service loses power and its workers come back one by one
    Then no storm was logged

  # A held task kept the others of its step waiting for 2 s.
  Scenario: A held task keeps no other of its step waiting in a storm
    When a job of 3 tasks, of which the first is held, is submitted in a storm
    Then the other 2 are assigned with the next plan
