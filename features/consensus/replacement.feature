Feature: A replaced disk has its vote before the next loss

  The timings are those that the adapter derives from the settings. Commands are
  proposed every 20 ms. A voter is lost, its successor starts with an empty disk
  `after_ms` later, and a further voter is lost `catch_up_s` after that start.

  Scenario: One of three is replaced, then another is killed
    Given voters that bear 1 loss, with 4 s to catch up
    When cores are replaced elsewhere and others are lost once those had their time
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
    Then each run commits again within 3 election timeouts and loses nothing

  Scenario: One of three is replaced, then another is wiped or frozen
    Given voters that bear 1 loss, with 4 s to catch up
    When cores are replaced elsewhere and others are lost once those had their time
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
    Then each run commits again within 3 election timeouts and loses nothing

  Scenario: Two of five are replaced at once, then two others are lost
    Given voters that bear 2 losses, with 4 s to catch up
    When cores are replaced elsewhere and others are lost once those had their time
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
    Then each run commits again within 3 election timeouts and loses nothing

  Scenario: The time to catch up comes from the settings
    Given voters that bear 1 loss, with 6 s to catch up
    When cores are replaced elsewhere and others are lost once those had their time
      | first    | after_ms | second   | fault  | seeds |
      | follower | 1000     | leader   | killed | 1 2   |
      | follower | 200      | follower | killed | 3 4   |
      | leader   | 1000     | promoter | killed | 5 6   |
      | leader   | 1000     | follower | wiped  | 7 8   |
    Then each run commits again within 3 election timeouts and loses nothing
