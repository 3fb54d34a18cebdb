Feature: Callers who compete for too little capacity

  Scenario: A small job goes before work that is due later
    Given work of 20000 core seconds that is due in 12000 ms
    And work of 500 core seconds that is due in 3000 ms
    Then a job of 20 core seconds that is due in 4700 ms is in time on 640 cores
    And a job of 400 core seconds that is due in 12500 ms is not in time on 640 cores

  Scenario: Small jobs are not refused for large ones that come after them
    # Three times the capacity in large jobs, and as much as it in small ones: 0.11
    # of the small ones were refused, and none of the others was late.
    When the load "sizes" is replayed with seed 2
    Then at least 95 % of the "small" jobs were in time
    And at least 50 % of the "large" jobs were served

  Scenario: Jobs that are too late to be of use come after those that still are
    # Five teams send three times the capacity, one of them 4.9 times as much as
    # the others.
    When the load "burst-long" is replayed with seed 5
    Then at least 72 % of the "large" jobs were served

  Scenario: A burst costs its team first, also if the leader changes meanwhile
    # A new leader has no choice of deferred jobs, no run times and no rate of
    # arrivals; the order of the teams follows from the book alone.
    When the load "burst-leader" is replayed with seed 3
    Then at least 95 % of the jobs of each team but "t0" were in time
    And at most 80 % of the "t0" jobs were in time
    And every admitted job completed
