Feature: Workers at an address or on an instance that others have left

  Background:
    Given a simulation of 4 workers without faults

  # An address or instance of a former life ended the worker's present life.
  Scenario Outline: A worker at a place that another has left does not end it
    When worker "w0" starts again at <place> of its own
    And job "a" of 1 step of 56 tasks of 60000 ms is submitted
    And the simulation runs for 1000 ms
    And a worker "w9" starts at <place> that "w0" had before
    And the simulation runs for 3000 ms
    Then no guarantee was violated

    Examples:
      | place       |
      | an address  |
      | an instance |

  # The upkeep of the instance that a former life had ended the present one.
  Scenario: The upkeep of a former instance does not end the worker that has left it
    When worker "w0" starts again at an instance of its own
    And job "a" of 1 step of 56 tasks of 60000 ms is submitted
    And 1 workers are added
    And the simulation runs for 1000 ms
    And the upkeep of instance "m-w0" is ordered and carried out
    And the simulation runs for 3000 ms
    Then no guarantee was violated
