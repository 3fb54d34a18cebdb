Feature: The work of a deleted instance counts until its lease has ended

  Scenario: An instance is deleted while a task runs on it
    Given a fleet of jobs with seed 1
    When the instance on which a task of 20 s runs is deleted
    Then the task has succeeded once and never ran twice at once

  Scenario: An instance is deleted and gone while a task runs on it
    Given a fleet of jobs with seed 1
    When the instance on which a task of 20 s runs is deleted and reports no more
    Then the task has succeeded once and never ran twice at once
    And it was started again only after the lease of the deleted instance
