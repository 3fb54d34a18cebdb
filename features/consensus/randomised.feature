Feature: Replicas agree through random faults

  Kills, freezes, cuts both ways and one way, lost, doubled and late messages,
  slow disks, failed syncs, torn ends of the log, lost disks, removed members
  and hand-overs, drawn from a seed. `python -m dev.run_consensus` runs longer.

  Scenario Outline: <size> cores keep what is committed, seed <seed>
    Given a world of <size> cores with seed <seed>
    When it runs 40000 steps of random faults and is healed
    Then every core holds the same commits and at least 500 of them
    And snapshots were installed and disks were lost on the way

    Examples:
      | size | seed |
      | 3    | 1    |
      | 3    | 2    |
      | 3    | 3    |
      | 5    | 1    |
      | 5    | 2    |
      | 5    | 3    |

  Scenario: Hypothesis finds no order of faults that breaks an invariant
    When hypothesis drives worlds of 3 and 5 cores
    Then no invariant is broken

  Scenario Outline: Votes move between <size> voters and <spare> spare cores under random faults
    Given a world of <size> cores of which <size> vote, seed <seed>
    And <spare> further cores that wait to be let in
    When it runs 20000 steps of random faults and is healed
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

  Scenario Outline: Votes of <size> voters and <spare> spare cores move at planned stops too
    Given a world of <size> cores of which <size> vote, seed <seed>
    And <spare> further cores that wait to be let in
    When it runs 20000 steps of random faults and planned stops
    Then every core holds the same commits and at least 100 of them

    Examples:
      | size | spare | seed |
      | 3    | 1     | 101  |
      | 3    | 2     | 102  |
      | 5    | 1     | 103  |
      | 5    | 2     | 1007 |
