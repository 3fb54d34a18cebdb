Feature: Pools that follow demand

  Scenario: A pool that lacks takes spare instances
    Given pools
      | pool    | ready_s | members | needed | empty | idle_ms |
      | coaches | 2000    | 6       | 4      |       |         |
    And 4 spare instances
    Then 4 instances move to "coaches"

  Scenario: A pool that lacks takes from an idle one without the idle time
    Given pools
      | pool    | ready_s | members | needed | empty | idle_ms |
      | coaches | 1300    | 6       | 4      |       |         |
      | clubs   | 0       | 6       | 4      | c1,c2 | 0       |
    Then 2 instances move to "coaches"

  Scenario: A pool keeps what it needs
    Given pools
      | pool  | ready_s | members | needed | empty | idle_ms |
      | clubs | 0       | 4       | 4      | c1,c2 | 9000    |
    Then nothing moves

  Scenario: An idle pool gives an instance up only after the price of a move
    Given pools
      | pool  | ready_s | members | needed | empty | idle_ms |
      | clubs | 0       | 6       | 4      | c1,c2 | 1000    |
    Then nothing moves
    Given pools
      | pool  | ready_s | members | needed | empty | idle_ms |
      | clubs | 0       | 6       | 4      | c1,c2 | 2400    |
    Then 1 instances move to "spare"
