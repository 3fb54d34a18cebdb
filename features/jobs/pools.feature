Feature: Pools whose sizes follow demand

  Scenario: A pool that is short of instances takes spare ones
    Given pools
      | pool    | ready_s | members | needed | empty | idle_ms |
      | coaches | 1300    | 6       | 4      |       |         |
    And 9 spare instances
    Then the fewest instances that complete its work in time move to "coaches"

  Scenario: A pool that is short of instances takes them from an idle pool at once
    Given pools
      | pool    | ready_s | members | needed | empty | idle_ms |
      | coaches | 1900    | 6       | 4      |       |         |
      | clubs   | 0       | 6       | 4      | c1,c2 | 0       |
    Then 2 instances move to "coaches"

  Scenario: A pool keeps the instances that it needs
    Given pools
      | pool  | ready_s | members | needed | empty | idle_ms |
      | clubs | 0       | 4       | 4      | c1,c2 | 9000    |
    Then no instance moves

  Scenario: An idle pool gives instances back only after the time that a move costs
    Given pools
      | pool  | ready_s | members | needed | empty | idle_ms |
      | clubs | 0       | 6       | 4      | c1,c2 | 1000    |
    Then no instance moves
    Given pools
      | pool  | ready_s | members | needed | empty | idle_ms |
      | clubs | 0       | 6       | 4      | c1,c2 | 2400    |
    Then 2 instances move to "spare"

  Scenario: After a demand peak a pool gives back all unneeded instances at once
    Given pools
      | pool  | ready_s | members | needed | empty             | idle_ms |
      | clubs | 20      | 12      | 4      | c1,c2,c3,c4,c5,c6 | 2400    |
    Then 6 instances move to "spare"
    Given pools
      | pool  | ready_s | members | needed | empty             | idle_ms |
      | clubs | 180     | 12      | 4      | c1,c2,c3,c4,c5,c6 | 2400    |
    Then 6 instances move to "spare"

  Scenario: A pool grows while work arrives faster than the pool can do it
    # The first second of a demand peak: five times the mean arrival rate, and
    # no backlog yet.
    Given pools
      | pool  | ready_s | members | needed | empty | idle_ms | arriving |
      | clubs | 60      | 3       | 3      |       |         | 480      |
    And 9 spare instances
    Then the fewest instances that complete its work in time move to "clubs"

  Scenario: A pool does not grow for long tasks that all run already
    # The larger Hollybrook site moved 40 instances to a pool for steps of 5 s
    # that all ran already; the instances stayed empty.
    Given pools
      | pool      | ready_s | members | needed | empty | idle_ms | ready |
      | packhouse | 9000    | 50      | 28     |       |         | 3000  |
    And 29 spare instances
    Then no instance moves

  Scenario: Empty instances are given back while long tasks run on other instances
    Given pools
      | pool      | ready_s | members | needed | empty       | idle_ms | ready |
      | packhouse | 4000    | 50      | 28     | p1,p2,p3,p4 | 2400    | 1600  |
    Then 4 instances move to "spare"

  Scenario: Several arrivals in a short time raise the arrival rate at once
    # Eight jobs of 60 core seconds in 400 ms need 1200 cores, while an average
    # that decays over 1200 ms shows only 400 of them.
    When 8 jobs of 60 core seconds arrive, one every 50 ms
    Then the arrival rate is at least 900 cores
    When 3000 ms pass without arrivals
    Then the arrival rate is at most 50 cores

  Scenario: A few large arrivals raise only the decaying average
    When 2 jobs of 240 core seconds arrive, one every 50 ms
    Then the arrival rate is at most 410 cores

  Scenario: A pool gives none of its own instances away for some that may never come
    Given pools
      | pool | ready_s | members | needed | empty | idle_ms | incoming |
      | a    | 0       | 13      | 4      | a1,a2 | 9000    | 9        |
      | b    | 900     | 4       | 4      |       |         | 0        |
    Then no instance moves
