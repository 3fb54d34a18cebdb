Feature: Dispatch leases never overlap

  Scenario: A late heartbeat renews nothing once a successor is proposed
    Given a lease keeper with the service "orders" held by "entry-0"
    When "entry-0" is silent for 1500 ms and "entry-1" reports
    And a successor is proposed but not committed yet
    And "entry-0" reports that it holds "orders"
    Then nothing is renewed

  Scenario: A new leader waits until leases renewed by an earlier one have ended
    Given a lease keeper with the service "orders" held by "entry-0"
    When another leader begins and "entry-1" reports
    Then no successor is proposed within 1200 ms
    And a successor is proposed after 1200 ms

  Scenario: A new holder has one lease time for its first report
    Given a lease keeper with the service "orders" held by "entry-0"
    When "entry-0" is silent for 1500 ms and "entry-1" reports
    And a successor is proposed and committed
    Then no successor is proposed within 1000 ms

  Scenario: A released lease is reassigned immediately
    Given a lease keeper with the service "orders" held by "entry-0"
    When "entry-1" reports and "entry-0" releases "orders"
    Then a successor is proposed after 0 ms
