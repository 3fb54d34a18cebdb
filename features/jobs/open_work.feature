Feature: The leader knows the open work without a look at each job

  # Hollybrook grown: a leader with a thousand open jobs lost its lease to the
  # submissions that it refused.
  Scenario: A submission costs the same however many jobs are open
    Given a pool of 4 workers that is full
    When a submission is handled beside 50 and beside 500 open jobs
    Then both looked at equally many jobs

  Scenario Outline: The open work is that of all open jobs
    When jobs of all kinds run with seeds <first> to <last>
    Then the open work was that of the jobs at all times

    Examples:
      | first | last |
      | 0     | 5    |
