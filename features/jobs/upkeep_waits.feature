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

  # Each instance waited for tasks for which only the others had room.
  Scenario: Instances that may not begin their upkeep run tasks that fit nowhere else
    Given a large simulation of 5 workers a service
    And a standing job of 3 tasks, one on each worker at most
    And another standing job of 3 tasks, one on each worker at most
    When the worker that runs both is gone for good
    And 2 s pass in the large simulation
    And a wave of upkeep takes 5 instances at once
    And 16 s pass in the large simulation
    Then no task has waited for too long beside room for it
    And for 30 s at least 4 standing tasks run at any time
    And the upkeep of 4 instances has ended
    And 6 standing tasks run

  Scenario: A new leader lets tasks run on instances that may not begin their upkeep
    Given a large simulation of 5 workers a service
    And a standing job of 3 tasks, one on each worker at most
    And another standing job of 3 tasks, one on each worker at most
    When the worker that runs both is gone for good
    And 2 s pass in the large simulation
    And a wave of upkeep takes 5 instances at once
    And 1 s pass until a new leader starts
    And 8 s pass in the large simulation
    Then for 30 s at least 4 standing tasks run at any time
    And the upkeep of 4 instances has ended
    And 6 standing tasks run

  Scenario: A job does not wait for instances that may not begin their upkeep
    Given a large simulation of 3 workers a service
    And a standing job of 3 tasks, one on each worker at most
    When a worker is gone for good
    And 2 s pass in the large simulation
    And a wave of upkeep takes 3 instances at once
    And a job of 1 short task is submitted once they drain
    And 5 s pass in the large simulation
    Then no task has waited for too long beside room for it

  Scenario: An instance that is back from its upkeep gets tasks while the provider is silent
    Given a large simulation of 4 workers a service
    And a standing job of 4 tasks that may miss 2 of them
    When a wave of upkeep takes 2 instances at once
    And the provider falls silent once 2 upkeeps are carried out
    And 16 s pass in the large simulation
    Then no task has waited for too long beside room for it
    And 4 standing tasks run
