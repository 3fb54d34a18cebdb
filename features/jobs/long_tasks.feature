Feature: A run stalls once its next percent is overdue, however long its task is

  Background:
    Given a simulation of 2 workers without faults

  Scenario Outline: A long task runs once
    # One of 200 s was stopped again and again, as workers report whole percentages.
    When a task of <s> s with an estimate of <estimate> s is submitted
    And its time of <s> s passes
    Then job "a" is "completed"
    And 1 run has started
    And no worker was suspect

    Examples: As long as estimated
      | s     | estimate |
      | 20    | 20       |
      | 100   | 100      |
      | 200   | 200      |
      | 1000  | 1000     |
      | 10000 | 10000    |

    Examples: Slower or faster than estimated
      | s    | estimate |
      | 300  | 100      |
      | 900  | 100      |
      | 150  | 15       |
      | 100  | 1000     |

  Scenario Outline: A long task resumes from its checkpoint once
    Given each run takes 600 ms to restore its checkpoint
    When a task of <s> s with an estimate of <s> s is submitted
    And its time of <s> s passes
    Then job "a" is "completed"
    And 1 run has started
    And no worker was suspect

    Examples:
      | s    |
      | 20   |
      | 100  |
      | 1000 |

  Scenario Outline: A long task whose worker's reports are delayed runs once
    When a task of <s> s with an estimate of <s> s is submitted
    And its reports are delayed for <ms> ms every 5 s
    Then job "a" is "completed"
    And 1 run has started
    And no worker was suspect

    Examples:
      | s    | ms   |
      | 10   | 1500 |
      | 20   | 2000 |
      | 100  | 2000 |
      | 1000 | 2000 |

  Scenario Outline: A long task continues under a new leader
    When a task of <s> s with an estimate of <s> s is submitted
    And half of its <s> s passes
    And a new leader takes over
    And its time of <s> s passes
    Then job "a" is "completed"
    And 1 run has started
    And no worker was suspect

    Examples:
      | s    |
      | 100  |
      | 1000 |

  Scenario: A long filler that its pace leaves no progress runs on
    When a filler task of 1000 s is submitted
    And it stops making progress after 5000 ms
    And the simulation runs for 60000 ms
    Then 1 run has started
    And no worker was suspect

  Scenario Outline: A long task that is far slower than its estimate ends
    When a task of <s> s with an estimate of <estimate> s is submitted
    And at most its time of <s> s passes 3 times
    Then job "a" is "completed"
    And at most <runs> runs have started

    Examples:
      | s    | estimate | runs |
      | 300  | 1        | 4    |
      | 300  | 0        | 4    |
      | 1000 | 10       | 6    |

  Scenario Outline: A run that hangs is found as soon as its next percent is overdue
    When a task of <s> s with an estimate of <s> s is submitted
    And it stops making progress after <after> ms
    Then the run is stalled within <ms> ms

    Examples: As soon as with a fixed limit
      | s   | after | ms   |
      | 1   | 0     | 1825 |
      | 1   | 500   | 1125 |
      | 7   | 0     | 1825 |
      | 7   | 3000  | 1025 |
      | 15  | 0     | 1825 |
      | 15  | 5000  | 1025 |

    Examples: Later, as percents are due later
      | s     | after  | ms      |
      | 100   | 0      | 10500   |
      | 100   | 30000  | 5500    |
      | 1000  | 0      | 100500  |
      | 1000  | 300000 | 50500   |
      | 10000 | 0      | 1000500 |
