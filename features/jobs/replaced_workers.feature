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

  # The wall clock of the other instance was ahead, so that the one that had
  # ended seemed to be the later one.
  Scenario Outline: A delayed report from a reused address does not end its present worker
    Given a worker "w9" at the address of worker "w0", whose clock is ahead by <ahead> ms, has ended
    When job "a" of 1 step of 56 tasks of 60000 ms is submitted
    And 1 workers are added
    And the simulation runs for 1000 ms
    And the delayed report of the ended worker arrives
    And the simulation runs for 6000 ms
    Then no guarantee was violated
    And worker "w0" has not been refused

    Examples:
      | ahead |
      | 0     |
      | 3000  |

  # The upkeep of the instance that a former life had ended the present one.
  Scenario: The upkeep of a former instance does not end the worker that has left it
    When worker "w0" starts again at an instance of its own
    And job "a" of 1 step of 56 tasks of 60000 ms is submitted
    And 1 workers are added
    And the simulation runs for 1000 ms
    And the upkeep of instance "m-w0" is ordered and carried out
    And the simulation runs for 3000 ms
    Then no guarantee was violated

  # A service that is removed makes the present life look like another writer.
  Scenario: A delayed report of a former life does not end one whose service was removed
    When worker "w0" starts again in service "side" with a report in flight
    And a new leader takes over
    And a job of service "side" runs on worker "w0"
    And service "side" is removed, and its queue is given to service "pack"
    And the report in flight arrives
    And the simulation runs for 2000 ms
    Then no guarantee was violated
