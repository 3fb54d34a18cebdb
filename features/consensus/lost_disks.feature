Feature: Two disks are lost before all cores lose power

  Five of six or eight cores have a vote. Disks are wiped or replaced at other
  addresses, cores are cut off, restarted or slow, and then all lose power and up
  to two more disks. As many disks are lost at a time as the settings promise to
  tolerate; a disk counts as lost until 6 s after its replacement has started.

  Scenario Outline: Commands are committed soon after the power is back, of <disks> disks
    When disks of <disks> cores are lost at random before all lose power
      | seeds           |
      | 1 2 3 4 5 6 7 8 |
    Then each run commits again within 3 election timeouts and loses no commit

    Examples:
      | disks |
      | 6     |
      | 8     |

  Scenario Outline: All machines find the leader after the power is back, of <disks> disks
    # Ten more machines have no disk. Machines know the others only by three
    # seeds, which change, and which may be machines without a disk or lost ones.
    When disks of <disks> cores among 10 other machines are lost at random before all lose power
      | seeds       |
      | 11 12 13 14 |
    Then each run commits again within 3 election timeouts and loses no commit

    Examples:
      | disks |
      | 6     |
      | 8     |
