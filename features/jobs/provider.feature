Feature: A provider that is busy, silent or late

  Background:
    Given a simulation of 3 workers without faults

  Scenario Outline: An order that is not carried out is sent again after a pause
    Given the provider answers each order with "<outcome>"
    When a wave of all instances with 3 at once is requested
    And the simulation runs with a provider for 6000 ms
    Then no instance was ordered twice within 500 ms
    And each instance was ordered at least 5 times
    When the provider carries orders out again
    And the simulation runs with a provider for 40000 ms
    Then the wave is complete

    Examples:
      | outcome    |
      | overloaded |
      | unknown    |
      | busy       |

  Scenario: Jobs complete while the provider carries out no orders
    Given the provider answers each order with "unknown"
    When a wave of all instances with 1 at once is requested
    And job "a" of 2 steps of 4 tasks is submitted
    And the simulation runs with a provider for 8000 ms
    Then job "a" is "completed"
    And no guarantee was violated

  Scenario: An upkeep that begins after its order has timed out still counts
    # An order that got no answer may be carried out later; a second upkeep of
    # the same standing step must not begin meanwhile.
    Given a standing job of 3 tasks of which 1 may be unavailable
    And the provider begins each upkeep 2500 ms after an order without an answer
    When a wave of all instances with 3 at once is requested
    And the simulation runs with a provider for 90000 ms
    Then the wave is complete
    And never more than 1 standing task was interrupted at a time

  Scenario: A wave continues once the provider lists its instances again
    Given the provider does not list its instances
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider for 6000 ms
    And the provider lists its instances again
    And the simulation runs with a provider for 40000 ms
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: An upkeep carried out without an answer does not end the new worker
    # The order is sent again after the instance is back with a new worker.
    Given the provider carries orders out without an answer
    When a wave of all instances with 3 at once is requested
    And the simulation runs with a provider for 6000 ms
    And the provider answers again to what it has done
    And the simulation runs with a provider for 10000 ms
    Then the wave is complete
    When job "a" of 400 tasks is submitted with key "key-school"
    And the simulation runs for 5000 ms
    Then all workers are full

  Scenario: An upkeep that an earlier leader ordered without an answer ends no run
    Given the provider carries orders out without an answer
    When wave 1 of instance "m-w0" is requested
    And the simulation runs with a provider for 4000 ms
    And a new leader takes over without an instance list
    And job "a" of 1 step of 36 tasks of 9000 ms is submitted
    And the simulation runs with a provider for 200 ms
    And 3 workers are added
    And the provider lists its instances again
    And the provider answers again to what it has done
    And the simulation runs with a provider for 30000 ms
    Then the wave is complete
    And no guarantee was violated
    And 36 runs have started

  Scenario: A move carried out without an answer ends once its worker reports
    Given the provider carries orders out without an answer
    When the simulation runs with a provider for 200 ms
    And instance "m-w0" is to move to "other"
    And the simulation runs with a provider for 8000 ms
    Then the instance of "w0" serves "other"
    And no instance is moving to another pool

  Scenario Outline: A delayed report of a life that its upkeep has ended does not end the upkeep
    # The leader had not heard of this life when it ordered the upkeep, and took
    # it for the worker after the upkeep.
    When the simulation runs with a provider for 500 ms
    And worker "w0" is cut off and restarts with a report in flight
    And a wave of all instances with 1 at once is requested
    And the simulation runs with a provider until instance "m-w0" is down
    And the simulation runs with a provider for <delay> ms
    And the delayed report arrives
    And the simulation runs with a provider for 40000 ms
    Then the wave is complete
    And never more than 1 instance was down at a time
    And every worker is known to the leader

    Examples:
      | delay |
      | 50    |
      | 400   |
      | 1900  |

  Scenario Outline: A delayed report of a life that its move has ended does not end the move
    When the simulation runs with a provider for 500 ms
    And worker "w0" is cut off and restarts with a report in flight
    And instance "m-w0" is to move to "other"
    And the simulation runs with a provider until instance "m-w0" is down
    And the simulation runs with a provider for <delay> ms
    And the delayed report arrives
    Then instance "m-w0" is still away
    When the simulation runs with a provider for 8000 ms
    Then the instance of "w0" serves "other"
    And no instance is moving to another pool

    Examples:
      | delay |
      | 50    |
      | 1900  |

  Scenario: An instance is in use again with its worker's first reports
    # The provider's list is requested as soon as a report says that it may be.
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider until instance "m-w0" is down
    And the simulation runs with a provider for 2300 ms
    Then instance "m-w0" is in use

  Scenario: A report that cannot be late shows a return while the list fails
    When a wave of all instances with 1 at once is requested
    And the simulation runs with a provider until instance "m-w0" is down
    And the provider no longer lists its instances
    And the simulation runs with a provider for 50000 ms
    Then instance "m-w0" is still away
    When the simulation runs with a provider for 15000 ms
    Then instance "m-w0" is in use
