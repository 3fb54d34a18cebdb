Feature: Planned disruptions stay within the budget that failures leave

  Scenario: A failure beyond the budget cancels the drain
    Given a fleet pool of 4 with budget 1 and a wave draining one
    When another instance of the fleet pool fails
    Then the draining instance serves again without a reboot
    And no instance of the fleet pool is drained before it recovers

  Scenario: A lost rack blocks planned disruptions in pools with members there
    Given a fleet pool of 6 with budget 3 and a wave draining one
    When a rack with two serving instances of the fleet pool is lost
    Then no further instance of the fleet pool is drained meanwhile

  Scenario: Nothing is drained while a large part of the fleet is silent
    Given a fleet pool of 6 with budget 3 and a wave draining one
    When half of the fleet stops reporting
    Then no further instance of the fleet pool is drained meanwhile

  Scenario: Only the largest rack is drained if the pool must tolerate its loss
    Given a fleet pool with racks of 4 and 2 that must keep 2 if a rack is lost
    When a fleet wave starts
    Then only instances of the larger rack are drained

  Scenario: A wave that cannot end by its date reports it at once
    Given a fleet pool of 6 with budget 1 at rest
    When a fleet wave has to end within 60 minutes
    Then its status reports that the pool makes it too slow

  Scenario: A wave over a pool without a budget reports it at once
    Given a fleet pool of 6 with budget 0 at rest
    When a fleet wave has to end within 600 minutes
    Then its status reports that the pool has no budget

  Scenario: Fluctuating demand causes no moves
    Given a fleet pool of 4 with budget 1 at rest
    When its wanted size alternates between 4 and 6 every 2 steps for 60 steps
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

  Scenario: An operator's drain keeps an instance empty until it is withdrawn
    Given a fleet pool of 4 with budget 1 at rest
    When an operator requests drains of "orders-1" and "orders-2"
    Then one of them is kept empty without a reboot and the other still serves
    When the operator withdraws both drains
    Then every instance of the fleet pool serves and none was rebooted
