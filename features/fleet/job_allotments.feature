Feature: Tasks of jobs and requests share one upper limit

  Scenario: Tasks get only what requests leave
    Given a team with an upper limit of 10 of which requests hold 6
    When 8 tasks of the team wait for an allotment
    Then at most 4 tasks may run

  Scenario: A new leader places no tasks before it has an allotment
    Given a team with an upper limit of 10 of which requests hold 6
    When 8 tasks of the team wait for an allotment
    And another leader's term begins
    Then at most 0 tasks may run
