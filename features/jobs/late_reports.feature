Feature: Reports that reach a new leader late

  Background:
    Given a simulation of 4 workers without faults

  # Review, TWICE: a run that was in progress was taken for never received and
  # started again on another worker.
  Scenario Outline: A delayed report does not show that a run was never received
    When <kind> is assigned, and its worker gets the order after <lost> lost ones and a delayed report
    And <leaders> new leaders get the delayed report, from which the run should not start
    Then its run is still assigned
    When the simulation runs for 9000 ms
    Then no guarantee was violated

    Examples:
      | kind                      | lost | leaders |
      | a gang                    | 0    | 1       |
      | a gang                    | 0    | 2       |
      | a gang                    | 1    | 1       |
      | a gang                    | 3    | 2       |
      | a task                    | 0    | 1       |
      | a task                    | 3    | 2       |
      | a standing task           | 0    | 1       |
      | a standing task           | 3    | 2       |
      | a task that allows copies | 0    | 1       |
      | a task that allows copies | 3    | 2       |

  # Once the run was removed, its instance was free to be moved or taken down.
  Scenario Outline: A delayed report does not free the instance of a run
    When a task is assigned, and its worker gets the order after 0 lost ones and a delayed report
    And 1 new leaders get the delayed report, from which the run should not start
    And <order> of the worker's instance is due
    Then no order is sent for its instance

    Examples:
      | order     |
      | an upkeep |
      | a move    |

  # The proof has to come soon, or the tasks of the gang wait in vain.
  Scenario Outline: A new leader takes back a run whose orders were lost
    When <kind> is assigned, and all <lost> orders to its worker are lost
    And <leaders> new leaders get its next reports, from which the run should not start
    Then its run is not assigned any more
    When the simulation runs for 9000 ms
    Then no guarantee was violated
    And no task was started on its worker as run 1

    Examples:
      | kind            | lost | leaders |
      | a gang          | 1    | 1       |
      | a gang          | 4    | 1       |
      | a gang          | 4    | 2       |
      | a task          | 1    | 1       |
      | a standing task | 4    | 2       |

  # A leader that knew only the earlier life took the instance for empty.
  Scenario Outline: A delayed report of an earlier life does not show that an instance is empty
    Given a standing job of 4 tasks of which 1 may be unavailable
    When a report of a worker with a standing task is delayed until its next life runs one
    And a new leader gets the delayed report before any other
    Then the report is refused
    When <order> of its instance is due while another standing task is unavailable
    Then no order is sent for its instance

    Examples:
      | order     |
      | an upkeep |
      | a move    |

  # A deadly task could crash workers without evidence after a change of leader.
  Scenario: A crash counts against a run that only the former leader had ordered
    When a task is assigned, and its worker gets the order after 0 lost ones and a delayed report
    And 1 new leaders get the delayed report, from which the run should not start
    And its worker crashes and starts again
    Then the crash counts as evidence against its task

  # Ends beyond those that fit in a report were taken for runs never received.
  Scenario Outline: A run whose end does not fit in the report is not started again
    When a worker has 520 ends that are not acknowledged, and <state>
    And the simulation runs for 3000 ms
    Then each task has been started once
    And no guarantee was violated

    Examples:
      | state      |
      | goes on    |
      | is leaving |
