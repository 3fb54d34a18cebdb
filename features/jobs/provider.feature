Feature: A provider that is busy, silent or late

  Background:
    Given a calm world of 3 workers

  Scenario Outline: An order that is not carried out is sent again after a pause
    Given the provider answers each order with "<outcome>"
    When a wave of all instances with 3 at once is asked for
    And 6000 ms pass for the jobs with a provider
    Then no instance was ordered twice within 500 ms
    And each instance was ordered at least 5 times
    When the provider carries orders out again
    And 40000 ms pass for the jobs with a provider
    Then the wave is complete

    Examples:
      | outcome    |
      | overloaded |
      | unknown    |
      | busy       |

  Scenario: Jobs complete while the provider carries out no orders
    Given the provider answers each order with "unknown"
    When a wave of all instances with 1 at once is asked for
    And job "a" of 2 steps of 4 tasks is handed in
    And 8000 ms pass for the jobs with a provider
    Then job "a" is "completed"
    And no promise was broken

  Scenario: An upkeep that begins after its order has timed out still counts
    # An order that got no answer may be carried out later; a second upkeep of
    # the same standing step must not begin meanwhile.
    Given a standing job of 3 tasks that may miss 1
    And the provider begins each upkeep 2500 ms after an order without an answer
    When a wave of all instances with 3 at once is asked for
    And 90000 ms pass for the jobs with a provider
    Then the wave is complete
    And never more than 1 standing task was interrupted at a time

  Scenario: A wave continues once the provider lists its instances again
    Given the provider does not list its instances
    When a wave of all instances with 1 at once is asked for
    And 6000 ms pass for the jobs with a provider
    And the provider lists its instances again
    And 40000 ms pass for the jobs with a provider
    Then the wave is complete
    And never more than 1 instance was down at a time

  Scenario: An upkeep carried out without an answer does not end the new worker
    # The order is sent again after the instance is back with a new worker.
    Given the provider carries orders out without an answer
    When a wave of all instances with 3 at once is asked for
    And 6000 ms pass for the jobs with a provider
    And the provider answers again to what it has done
    And 10000 ms pass for the jobs with a provider
    Then the wave is complete
    When job "a" of 400 tasks is handed in with key "key-school"
    And 5000 ms pass for the jobs
    Then all workers are full

  Scenario: An upkeep that an earlier leader ordered without an answer ends no run
    Given the provider carries orders out without an answer
    When wave 1 of instance "m-w0" is asked for
    And 4000 ms pass for the jobs with a provider
    And another scheduler takes over without a list
    And job "a" of 1 step of 36 tasks of 9000 ms is handed in
    And 200 ms pass for the jobs with a provider
    And 3 workers are added
    And the provider lists its instances again
    And the provider answers again to what it has done
    And 30000 ms pass for the jobs with a provider
    Then the wave is complete
    And no promise was broken
    And 36 runs have started

  Scenario: A move carried out without an answer ends once its worker reports
    Given the provider carries orders out without an answer
    When 200 ms pass for the jobs with a provider
    And instance "m-w0" is to move to "other"
    And 8000 ms pass for the jobs with a provider
    Then the instance of "w0" serves "other"
    And no instance is on its way to another pool
