Feature: Allotments never exceed a team's upper limit

  Scenario: A limit is divided by demand and follows changes in demand
    Given an allotment ledger of limit 12 with the services "a" and "b"
    When service "a" reports 0 running and 20 waiting
    Then service "a" is allotted 12
    When service "b" reports 0 running and 20 waiting
    Then service "b" is allotted 0
    When service "a" reports 12 running, 8 waiting and 12 held
    Then service "a" is allotted 6
    When service "b" reports 0 running and 20 waiting
    Then service "b" is allotted 0
    When service "a" reports 6 running, 8 waiting and 6 held
    And service "b" reports 0 running and 20 waiting
    Then service "b" is allotted 6

  Scenario: A successor learns how much the lost holder may have running
    Given an allotment ledger of limit 12 with the services "a" and "b"
    When service "a" reports 0 running and 20 waiting
    And another process takes over service "a" without a complete count
    Then it learns that earlier holders may have 12 running
    When service "b" reports 0 running and 20 waiting
    Then service "b" is allotted 0

  Scenario: A new leader raises nothing until every holder has reported to it
    Given an allotment ledger of limit 12 with the services "a" and "b"
    When service "a" reports 0 running and 20 waiting
    And another leader takes over
    And service "b" reports 0 running and 20 waiting
    Then service "b" is allotted 0
    When service "a" reports 9 running, 0 waiting and 12 held
    And service "a" reports 9 running, 0 waiting and 9 held
    And service "b" reports 0 running and 20 waiting
    And service "b" reports 0 running and 20 waiting
    Then service "b" is allotted 3

  Scenario: A lowered limit withdraws unused allotments and no running request
    Given an allotment ledger of limit 12 with the services "a" and "b"
    When service "a" reports 10 running, 0 waiting and 10 held
    And the limit is lowered to 4
    And service "a" reports 10 running, 5 waiting and 10 held
    Then service "a" is allotted 4
    When service "b" reports 0 running and 20 waiting
    Then service "b" is allotted 0

  Scenario: A team without demand is left out of the reply
    Given an allotment ledger of limit 12 with the services "a" and "b"
    When service "a" reports nothing
    Then the reply to service "a" names no team

  Scenario: Allotments never exceed the limit in random runs with lost replies
    Then allotments stay within the limit in 300 random runs
