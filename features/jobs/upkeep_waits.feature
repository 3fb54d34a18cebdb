Feature: Tasks do not wait for instances whose upkeep has no answer
  While the provider is silent, an upkeep that was ordered may or may not begin.
  Its instance works on and has room that nothing else has.

  Scenario Outline: A task runs on an instance whose upkeep got no answer
    Given a large simulation of 6 workers a service
    And a standing job of 4 tasks, one on each worker at most
    And the provider is silent
    When a wave of upkeep takes <count> instances at once
    And <change>
    And a worker, if possible without upkeep, is gone for good
    And 16 s pass in the large simulation
    Then no task has waited for too long beside room for it
    And 4 standing tasks run

    Examples:
      | count | change                                              |
      | 3     | 6 s pass in the large simulation                    |
      | 6     | 6 s pass in the large simulation                    |
      | 3     | 6 s pass until a new leader starts                  |
      | 3     | 6 s pass until a new leader starts and gets a list  |

  Scenario: Once the provider answers, the wave interrupts one task at a time
    Given a large simulation of 6 workers a service
    And a standing job of 4 tasks, one on each worker at most
    And the provider is silent
    When a wave of upkeep takes 3 instances at once
    And 6 s pass in the large simulation
    And a worker, if possible without upkeep, is gone for good
    And 16 s pass in the large simulation
    And the silent provider is back
    Then for 30 s at least 3 standing tasks run at any time
    And the upkeep of 5 instances has ended
