Feature: A replaced disk has its vote before the next loss

  The timings are those that the adapter derives from the settings. Commands are
  proposed every 20 ms. A voter is lost, its replacement starts with an empty
  disk `after_ms` later, and a further voter is lost `catch_up_s` after that
  start.

  Scenario: One of three is replaced, then another is killed
    Given voters that tolerate 1 loss, with 4 s to catch up
    When cores are replaced by new ones and others are lost after the time to catch up
      | first    | after_ms | second   | fault  | seeds |
      | follower | 1000     | leader   | killed | 1 2 3 |
      | follower | 1000     | follower | killed | 1 2 3 |
      | follower | 1000     | promoter | killed | 1 2 3 |
      | follower | 200      | leader   | killed | 4 5   |
      | follower | 200      | follower | killed | 4 5   |
      | follower | 200      | promoter | killed | 4 5   |
      | leader   | 1000     | leader   | killed | 1 2 3 |
      | leader   | 1000     | follower | killed | 1 2 3 |
      | leader   | 1000     | promoter | killed | 1 2 3 |
      | leader   | 200      | leader   | killed | 4 5   |
      | leader   | 200      | follower | killed | 4 5   |
      | leader   | 200      | promoter | killed | 4 5   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: One of three is replaced, then another is wiped or frozen
    Given voters that tolerate 1 loss, with 4 s to catch up
    When cores are replaced by new ones and others are lost after the time to catch up
      | first    | after_ms | second   | fault  | seeds |
      | follower | 1000     | leader   | wiped  | 1 2   |
      | follower | 200      | follower | wiped  | 3 4   |
      | follower | 1000     | promoter | wiped  | 5 6   |
      | leader   | 1000     | leader   | wiped  | 1 2   |
      | leader   | 1000     | follower | wiped  | 3 4   |
      | leader   | 200      | promoter | wiped  | 5 6   |
      | follower | 1000     | leader   | frozen | 1 2   |
      | follower | 200      | follower | frozen | 3 4   |
      | follower | 1000     | promoter | frozen | 5 6   |
      | leader   | 1000     | leader   | frozen | 1 2   |
      | leader   | 1000     | follower | frozen | 3 4   |
      | leader   | 200      | promoter | frozen | 5 6   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: Two of five are replaced at once, then two others are lost
    Given voters that tolerate 2 losses, with 4 s to catch up
    When cores are replaced by new ones and others are lost after the time to catch up
      | first             | after_ms | second            | fault  | seeds |
      | follower,follower | 1000     | leader,follower   | killed | 1 2   |
      | follower,follower | 200      | follower,follower | killed | 3 4   |
      | follower,follower | 1000     | promoter,follower | killed | 5 6   |
      | leader,follower   | 1000     | leader,follower   | killed | 1 2   |
      | leader,follower   | 200      | follower,follower | killed | 3 4   |
      | leader,follower   | 1000     | promoter,follower | killed | 5 6   |
      | follower,follower | 1000     | leader,follower   | wiped  | 1 2   |
      | follower,follower | 200      | follower,follower | wiped  | 3 4   |
      | follower,follower | 1000     | promoter,follower | wiped  | 5 6   |
      | leader,follower   | 1000     | leader,follower   | wiped  | 1 2   |
      | leader,follower   | 200      | follower,follower | wiped  | 3 4   |
      | leader,follower   | 1000     | promoter,follower | wiped  | 5 6   |
      | follower,follower | 1000     | leader,follower   | frozen | 1 2   |
      | follower,follower | 200      | follower,follower | frozen | 3 4   |
      | follower,follower | 1000     | promoter,follower | frozen | 5 6   |
      | leader,follower   | 1000     | leader,follower   | frozen | 1 2   |
      | leader,follower   | 200      | follower,follower | frozen | 3 4   |
      | leader,follower   | 1000     | promoter,follower | frozen | 5 6   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: The time to catch up comes from the settings
    Given voters that tolerate 1 loss, with 6 s to catch up
    When cores are replaced by new ones and others are lost after the time to catch up
      | first    | after_ms | second   | fault  | seeds |
      | follower | 1000     | leader   | killed | 1 2   |
      | follower | 200      | follower | killed | 3 4   |
      | leader   | 1000     | promoter | killed | 5 6   |
      | leader   | 1000     | follower | wiped  | 7 8   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A waiting spare core takes the place of a lost voter
    Given voters that tolerate 1 loss, with 4 s to catch up
    When cores are replaced by new ones and others are lost after the time to catch up
      | first    | after_ms | second   | fault  | spare | seeds |
      | follower | 1000     | leader   | killed | yes   | 1 2   |
      | follower | 1000     | follower | frozen | yes   | 3 4   |
      | leader   | 200      | promoter | killed | yes   | 5 6   |
      | leader   | 1000     | leader   | wiped  | yes   | 7 8   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: Each of three is replaced in turn
    Given voters that tolerate 1 loss, with 4 s to catch up
    When each voter is replaced in turn and the leader is killed at the end
      | seeds   |
      | 1 2 3 4 |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: Leadership is handed over before the newcomer of three has its vote
    Given voters that tolerate 1 loss, with 4 s to catch up
    When leadership is handed over between a replacement and the next loss
      | first    | moved_ms | second   | seeds |
      | follower | 500      | leader   | 1 2   |
      | follower | 1500     | leader   | 3 4   |
      | follower | 2500     | leader   | 5 6   |
      | leader   | 500      | follower | 1 2   |
      | leader   | 1500     | follower | 3 4   |
      | leader   | 2500     | follower | 5 6   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: Leadership is handed over before the newcomers of five have their votes
    Given voters that tolerate 2 losses, with 4 s to catch up
    When leadership is handed over between a replacement and the next loss
      | first             | moved_ms | second            | seeds |
      | follower,follower | 500      | leader,follower   | 1 2   |
      | leader,follower   | 1500     | follower,follower | 3 4   |
      | follower,follower | 2500     | leader,follower   | 5 6   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: The leader of three is restarted before the newcomer has its vote
    Given voters that tolerate 1 loss, with 4 s to catch up
    When the leader is stopped and started between a replacement and the next loss
      | first    | stopped_ms | second   | seeds |
      | follower | 500        | leader   | 1 2   |
      | follower | 2000       | follower | 3 4   |
      | leader   | 500        | follower | 5 6   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: The leader of five is restarted before the newcomer has its vote
    Given voters that tolerate 2 losses, with 4 s to catch up
    When the leader is stopped and started between a replacement and the next loss
      | first    | stopped_ms | second   | seeds |
      | follower | 500        | leader   | 1 2   |
      | follower | 2000       | follower | 3 4   |
      | leader   | 500        | follower | 5 6   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A planned stop after the replacement's start, for three
    Given voters that tolerate 1 loss, with 4 s to catch up
    When a core starts, a voter is stopped as planned, and another is lost
      | first    | second   | fault  | seeds |
      | follower | leader   | killed | 1 2 3 |
      | follower | follower | killed | 4 5   |
      | follower | promoter | killed | 6 7   |
      | leader   | leader   | killed | 1 2 3 |
      | leader   | follower | killed | 4 5   |
      | leader   | follower | wiped  | 6 7   |
      | follower | leader   | frozen | 8 9   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: Two planned stops after the replacements' start, for five
    Given voters that tolerate 2 losses, with 4 s to catch up
    When a core starts, a voter is stopped as planned, and another is lost
      | first             | second            | fault  | seeds |
      | follower,follower | leader,follower   | killed | 1 2   |
      | leader,follower   | follower,follower | killed | 3 4   |
      | leader,follower   | leader,follower   | wiped  | 5 6   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A wiped disk of three comes back before the next is wiped
    Given voters that tolerate 1 loss, with 4 s to catch up
    When disks are wiped, and later others during a power failure of all cores
      | first    | second   | seeds |
      | follower | leader   | 1 2 3 |
      | follower | follower | 4 5 6 |
      | follower | newcomer | 7 8   |
      | leader   | leader   | 1 2 3 |
      | leader   | follower | 4 5 6 |
      | leader   | newcomer | 7 8   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: Two wiped disks of five come back before the next are wiped
    Given voters that tolerate 2 losses, with 4 s to catch up
    When disks are wiped, and later others during a power failure of all cores
      | first             | second            | seeds |
      | follower,follower | leader,follower   | 1 2   |
      | follower,follower | follower,follower | 3 4   |
      | leader,follower   | leader,newcomer   | 5 6   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A newcomer whose replies are delayed gets its vote
    Given voters that tolerate 1 loss, with 4 s to catch up
    And a command every 10 ms
    When a voter is replaced by a core with a slower link
      | first    | after_ms | second   | seeds |
      | follower | 1000     | leader   | 1 2   |
      | follower | 20000    | follower | 3 4   |
      | leader   | 20000    | leader   | 5 6   |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A short freeze moves no vote
    Given voters that tolerate 1 loss, with 4 s to catch up
    When a voter is frozen for 1000 ms
      | who      | spare | seeds |
      | follower | no    | 1 2 3 |
      | leader   | no    | 4 5 6 |
      | follower | yes   | 1 2 3 |
      | leader   | yes   | 4 5 6 |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A short partition moves no vote
    Given voters that tolerate 1 loss, with 4 s to catch up
    When a voter is cut off for 1000 ms
      | who      | spare | seeds |
      | follower | no    | 1 2 3 |
      | leader   | no    | 4 5 6 |
      | follower | yes   | 1 2 3 |
      | leader   | yes   | 4 5 6 |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A long freeze does no harm
    Given voters that tolerate 1 loss, with 4 s to catch up
    When a voter is frozen for 6000 ms
      | who      | spare | seeds |
      | follower | no    | 1 2 3 |
      | leader   | no    | 4 5 6 |
      | follower | yes   | 1 2 3 |
      | leader   | yes   | 4 5 6 |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A long partition does no harm
    Given voters that tolerate 1 loss, with 4 s to catch up
    When a voter is cut off for 6000 ms
      | who      | spare | seeds |
      | follower | no    | 1 2 3 |
      | leader   | no    | 4 5 6 |
      | follower | yes   | 1 2 3 |
      | leader   | yes   | 4 5 6 |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: Repeated freezes of one voter do not move votes in a loop
    Given voters that tolerate 1 loss, with 4 s to catch up
    When the same voter freezes every 5 s for 30 s
      | who      | frozen_ms | spare | seeds |
      | follower | 1000      | no    | 1     |
      | follower | 3000      | no    | 2     |
      | leader   | 3000      | no    | 3     |
      | follower | 4500      | no    | 4     |
      | follower | 1000      | yes   | 1     |
      | follower | 3000      | yes   | 2     |
      | leader   | 3000      | yes   | 3     |
      | follower | 4500      | yes   | 4     |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A core that starts on the leader's side of a partition of three still gets a vote
    Given voters that tolerate 1 loss, with 4 s to catch up
    When a core starts on the leader's side of a partition, and others are lost
      | first    | split_ms | second   | seeds |
      | none     | 1000     | leader   | 1 2 3 |
      | none     | 2000     | follower | 4 5 6 |
      | none     | 5000     | leader   | 7 8 9 |
      | follower | 2000     | leader   | 1 2 3 |
    Then each run commits again within 3 election timeouts and loses no commit

  Scenario: A core that starts on the leader's side of a partition of five still gets a vote
    Given voters that tolerate 2 losses, with 4 s to catch up
    When a core starts on the leader's side of a partition, and others are lost
      | first    | split_ms | second            | seeds   |
      | none     | 2000     | leader,follower   | 1 2     |
      | none     | 5000     | follower,follower | 3 4     |
      | follower | 2000     | leader,follower   | 5 6 7 8 |
      | follower | 5000     | follower,follower | 1 2 3 4 |
    Then each run commits again within 3 election timeouts and loses no commit
