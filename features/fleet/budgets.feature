Feature: Planned acts never take what failures need

  Scenario: A failure beyond the budget undoes the drain
    Given a fleet pool of 4 with budget 1 in a wave that drains
    When another instance of the fleet pool fails
    Then the drained instance serves again without a reboot
    And no instance of the fleet pool is drained until it is back

  Scenario: A lost rack holds up planned acts in the pools that it touches
    Given a fleet pool of 6 with budget 3 in a wave that drains
    When the rack of two idle instances of the fleet pool is lost
    Then no further instance of the fleet pool is drained meanwhile

  Scenario: A silent fleet is the observer's fault and nothing is drained
    Given a fleet pool of 6 with budget 3 in a wave that drains
    When half of the fleet falls silent
    Then no further instance of the fleet pool is drained meanwhile

  Scenario: An instance out of the worst rack is not drained
    Given a fleet pool whose racks hold 4 and 2 and must leave 2 after a loss
    When a fleet wave starts
    Then only instances of the larger rack are drained

  Scenario: A wave that cannot end by its date says so at once
    Given a fleet pool of 6 with budget 1 at rest
    When a fleet wave has to end within 60 minutes
    Then its status says that it is too slow because of the pool

  Scenario: A wave over a pool without a budget says so at once
    Given a fleet pool of 6 with budget 0 at rest
    When a fleet wave has to end within 600 minutes
    Then its status says that the pool has no budget

  Scenario: Turning demand moves nothing
    Given a fleet pool of 4 with budget 1 at rest
    When its wanted size turns between 4 and 6 every 2 steps for 60 steps
    Then at most 0 fleet moves were made

  Scenario: Lasting demand is met with the fewest moves
    Given a fleet pool of 4 with budget 1 at rest
    When its wanted size stays at 6 for 60 steps
    Then at most 2 fleet moves were made
    And the fleet pool has 6 serving

  Scenario: Every instance is maintained once in the interval
    Given a fleet pool of 6 with budget 1 at rest
    When regular maintenance runs for 2 intervals of 200000 ms
    Then every instance was rebooted 2 times

  Scenario: A pool that has borrowed enough is within its budget again
    Given a fleet pool of 6 with budget 1 at rest
    When 3 instances of the fleet pool fail for good
    Then the fleet pool is within its budget and 1 of its members has failed

  Scenario: An operator's drain keeps an instance empty until it is taken back
    Given a fleet pool of 4 with budget 1 at rest
    When an operator wants "orders-1" and "orders-2" drained
    Then one of them is kept empty without a reboot and the other still serves
    When the operator takes both drains back
    Then every instance of the fleet pool serves and none was rebooted
