Feature: Pools that follow demand

  Scenario: A pool that lacks takes spare instances
    Given pools
      | pool    | ready_s | members | needed | empty | idle_ms |
      | coaches | 1300    | 6       | 4      |       |         |
    And 9 spare instances
    Then just as many instances move to "coaches" as end its work in time

  Scenario: A pool that lacks takes from an idle one without the idle time
    Given pools
      | pool    | ready_s | members | needed | empty | idle_ms |
      | coaches | 1900    | 6       | 4      |       |         |
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
    Then 2 instances move to "spare"

  Scenario: After its turn a pool gives back at once all that it does not need
    Given pools
      | pool  | ready_s | members | needed | empty             | idle_ms |
      | clubs | 20      | 12      | 4      | c1,c2,c3,c4,c5,c6 | 2400    |
    Then 6 instances move to "spare"
    Given pools
      | pool  | ready_s | members | needed | empty             | idle_ms |
      | clubs | 180     | 12      | 4      | c1,c2,c3,c4,c5,c6 | 2400    |
    Then 6 instances move to "spare"

  Scenario: A pool grows while work arrives faster than it can do
    # The first second of a turn: five times the mean, no backlog yet.
    Given pools
      | pool  | ready_s | members | needed | empty | idle_ms | arriving |
      | clubs | 60      | 3       | 3      |       |         | 480      |
    And 9 spare instances
    Then just as many instances move to "clubs" as end its work in time

  Scenario: Long tasks that all run are no reason to grow
    # The larger Hollybrook site fetched 40 instances for steps of 5 s that all
    # ran already; the instances stood empty.
    Given pools
      | pool      | ready_s | members | needed | empty | idle_ms | ready |
      | packhouse | 9000    | 50      | 28     |       |         | 3000  |
    And 29 spare instances
    Then nothing moves

  Scenario: Empty instances go back while long tasks run beside them
    Given pools
      | pool      | ready_s | members | needed | empty       | idle_ms | ready |
      | packhouse | 4000    | 50      | 28     | p1,p2,p3,p4 | 2400    | 1600  |
    Then 4 instances move to "spare"

  Scenario: Several arrivals in a short time tell of a turn at once
    # Eight orders of 60 core seconds in 400 ms: 1200 cores, where an average
    # that fades over 1200 ms has seen 400 of them.
    When 8 jobs of 60 core seconds arrive, one every 50 ms
    Then at least 900 cores are said to be asked for
    When 3000 ms pass without arrivals
    Then at most 50 cores are said to be asked for

  Scenario: A few large arrivals tell of no turn
    When 2 jobs of 240 core seconds arrive, one every 50 ms
    Then at most 410 cores are said to be asked for
