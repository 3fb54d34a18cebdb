Feature: A provider of instances that does not answer

  Scenario: Orders without an answer hold no caller up
    Given three replicas of the book and a silent provider of 40 instances
    And configuration 1 is in force there
    When upkeep of all instances at once is asked for
    And the provider has been given an order
    And configurations are put for 4000 ms
    Then each was in force within 300 ms
    And the leader is the same
    And at most 16 orders were under way at once
    When the provider answers again
    Then each instance is ordered by one leader only
