Feature: Committed commands change the state exactly once

  Scenario: Of two changes from the same version the second gets a conflict
    Given a team "coach" with an upper limit of 5
    When two operators set its limit to 7 and to 9 from the same version
    Then the first is applied and the second gets a conflict with limit 7

  Scenario: A command that is sent again gets its first outcome
    Given a team "coach" with an upper limit of 5
    When the same command is applied twice
    Then both outcomes are equal and the state changed once
