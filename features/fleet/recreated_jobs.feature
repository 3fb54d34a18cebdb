Feature: Attempts of a deleted job are not taken for those of a later one

  Scenario: A job that is created again under its old name runs its own tasks
    Given a fleet of jobs with seed 1
    And a job "bus" whose worker has reported the success of its task
    When the job "bus" is deleted and created again at once
    Then the later job "bus" has run its task before it is done

  Scenario: A worker that was cut off reports a deleted job's attempt
    Given a fleet of jobs with seed 1
    And a job "bus" that runs on a worker that is cut off
    When the job "bus" is deleted and created again at once
    And the cut worker reports again after its task has ended
    Then the later job "bus" has run its task before it is done
