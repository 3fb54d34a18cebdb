Feature: Replicas agree under random faults

  The faults are drawn from a seed: kills, freezes, partitions in one or both
  directions, lost, duplicated and delayed messages, slow disks, failed syncs,
  torn writes at the end of the log, lost disks, removed members and hand-overs.
  `python -m dev.run_consensus` runs them for longer.

  Scenario Outline: <size> cores keep committed entries, seed <seed>
    Given a simulated cluster of <size> cores with seed <seed>
    When it runs 40000 steps under random faults, which then end
    Then every core holds the same commits and at least 500 of them
    And snapshots were installed and disks were lost during the run

    Examples:
      | size | seed |
      | 3    | 1    |
      | 3    | 2    |
      | 3    | 3    |
      | 5    | 1    |
      | 5    | 2    |
      | 5    | 3    |

  Scenario: Hypothesis finds no sequence of faults that breaks an invariant
    When Hypothesis runs random operations on clusters of 3 and 5 cores
    Then no invariant is broken

  Scenario Outline: Votes move between <size> voters and <spare> spare cores under random faults
    Given a simulated cluster of <size> cores with at most <size> voters, seed <seed>
    And <spare> further cores that wait to join
    When it runs 20000 steps under random faults, which then end
    Then every core holds the same commits and at least 100 of them

    Examples:
      | size | spare | seed |
      | 3    | 1     | 101  |
      | 3    | 2     | 102  |
      | 5    | 1     | 103  |
      | 5    | 2     | 104  |
      | 3    | 2     | 110  |
      | 5    | 1     | 157  |
      | 5    | 2     | 159  |

  Scenario Outline: Votes move between <size> voters and <spare> spare cores under random faults and planned stops
    Given a simulated cluster of <size> cores with at most <size> voters, seed <seed>
    And <spare> further cores that wait to join
    When it runs 20000 steps under random faults and planned stops, which then end
    Then every core holds the same commits and at least 100 of them

    Examples:
      | size | spare | seed |
      | 3    | 1     | 101  |
      | 3    | 2     | 102  |
      | 5    | 1     | 103  |
      | 5    | 2     | 1007 |
