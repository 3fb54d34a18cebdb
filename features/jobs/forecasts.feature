Feature: Forecasts of the turns of queues

  Scenario: Turns that recur are forecast from the third one on
    # Two turns of a queue alone show no recurrence.
    Given queues "a,b" that take turns of 5 s every 20 s
    When 2 turns of each queue have passed
    Then the third turn of "a" is forecast within 300 ms
    And the third turn of "b" is forecast within 300 ms

  Scenario: One queue needs two intervals that agree
    Given queues "a" that take turns of 5 s every 20 s
    When 2 turns of each queue have passed
    Then no turn is forecast
    When 1 turns of each queue have passed
    Then a turn of "a" is forecast

  Scenario: A turn is forecast from that of the queue which it follows
    # The turns of the first queue begin at no regular time.
    Given a queue "b" whose turns begin 6 s after those of "a"
    When 5 turns of "a" have passed at irregular times
    Then the next turn of "b" is forecast from "a"

  Scenario: Steady demand has no turns
    When jobs of "a" arrive every 300 ms for 120 s
    Then no turn is forecast

  Scenario: A queue two of whose forecasts fail is no longer forecast
    # The time between its turns grows, so that each forecast is too early.
    Given queues "a" that take turns of 5 s every 20 s
    When 3 turns of each queue have passed
    Then a turn of "a" is forecast
    When 1 turns of each queue have passed 1000 ms late
    And 1 turns of each queue have passed 1500 ms late
    Then the forecasts of "a" are judged and not used
    # It is forecast again once four forecasts in a row have come true.
    When 9 turns of each queue have passed
    Then a turn of "a" is forecast

  Scenario: A forecast without a turn ends, and the instances are free again
    Given queues "a,b" that take turns of 5 s every 20 s
    When 4 turns of each queue have passed
    And no job arrives for 30 s
    Then no turn is forecast
    And the last outcome of "a" is a failure

  Scenario: Instances for a turn come from the spare pool and from idle pools
    Given pools
      | pool    | ready_s | members | needed | empty    | idle_ms |
      | coaches | 0       | 2       | 2      |          |         |
      | clubs   | 0       | 6       | 4      | c1,c2,c3 | 0       |
    And 1 spare instances
    And a turn of 500 cores is expected for "coaches"
    Then 3 instances move early to "coaches"

  Scenario: No pool that has work gives instances for a turn that may not come
    Given pools
      | pool    | ready_s | members | needed | empty    | idle_ms |
      | coaches | 0       | 2       | 2      |          |         |
      | clubs   | 300     | 6       | 4      | c1,c2,c3 |         |
    And a turn of 500 cores is expected for "coaches"
    Then 0 instances move early to "coaches"

  Scenario: Work that is there gets instances before a turn that is expected
    Given pools
      | pool    | ready_s | members | needed | empty | idle_ms |
      | coaches | 0       | 2       | 2      |       |         |
      | clubs   | 3000    | 4       | 4      |       |         |
    And 3 spare instances
    And a turn of 500 cores is expected for "coaches"
    Then 0 instances move early to "coaches"

  Scenario: Pools grow before a turn that recurs, and shrink if it does not come
    Given a replay of regular turns
    When it has run for 81500 ms
    Then the pool "s0" has got instances before its turn
    When all callers fall silent for 15000 ms
    Then the pool "s0" has its smallest size

  Scenario: A new leader within a turn goes on with the forecasts
    # The book is restored from a snapshot; nothing else is stored.
    Given a replay of regular turns
    When it has run for 64000 ms
    And the leader changes
    Then the new leader expects the same turns
    When it has run for 17500 ms
    Then the pool "s0" has got instances before its turn

  Scenario: An idle pool gives instances back at once only between turns
    # The turns of the pool's queue begin at 2, 22, 42, 62 and 82 s. Before two
    # of them have been seen nothing is known of the next.
    Given a replay of regular turns
    When it has run for 10000 ms
    Then the pool "s0" keeps what has been empty for 600 ms
    When it has run for 63000 ms
    Then the pool "s0" gives back what has been empty for 600 ms
    And the pool "s0" keeps what has been empty for 400 ms
    When it has run for 6500 ms
    Then the pool "s0" keeps what has been empty for 600 ms
