Feature: Decisions of one dispatcher

  Background:
    Given a dispatcher of 3 entries with the teams
      | team   | weight | limit |
      | coach  | 2      | 100   |
      | school | 1      | 100   |

  Scenario: A late announcement of an earlier incarnation is ignored
    Given backend "b1" of incarnation 5 announces 2 slots
    When "coach" sends 2 requests
    And backend "b1" of incarnation 4 announces 8 slots
    Then 2 requests are granted

  Scenario: A restarted backend server has lost its requests and gets a slow start
    Given backend "b1" of incarnation 5 announces 4 slots
    When "coach" sends 8 requests
    And backend "b1" of incarnation 6 announces 4 slots
    Then 5 requests are granted
    When 2000 ms pass
    Then 8 requests are granted

  Scenario: A later incarnation at the same address replaces a server with another id
    Given backend "b1" of incarnation 5 announces 2 slots
    And backend "b2" of incarnation 6 announces 3 slots at the address of "b1"
    When "coach" sends 9 requests
    Then 3 requests are granted

  Scenario: A leaving backend server gets no new requests
    Given backend "b1" of incarnation 5 announces 4 slots
    When "coach" sends 1 requests
    And backend "b1" announces that it is leaving
    And "coach" sends 1 requests
    Then 1 requests are granted

  Scenario: A silent backend server gets no requests after its lease has expired
    Given backend "b1" of incarnation 5 announces 4 slots
    When 2100 ms pass
    And "coach" sends 1 requests
    Then 0 requests are granted

  Scenario: Urgent requests go before the team's others
    Given backend "b1" of incarnation 5 announces 1 slots
    When "coach" sends 5 requests
    And "coach" sends an urgent request
    And the oldest running request ends
    Then the last granted request was urgent

  Scenario: A full queue evicts requests of the team with most waiting for its weight
    Given backend "b1" of incarnation 5 announces 1 slots
    And the queue is bounded to 10 requests
    When "coach" sends 30 requests
    And "school" sends 3 requests
    Then "school" has 3 requests waiting
    And "coach" has 7 requests waiting
    And 22 requests were refused with QUEUE_FULL

  Scenario: A request that cannot meet its deadline is refused immediately
    Given backend "b1" of incarnation 5 announces 1 slots
    And 30 requests of "coach" ran for 1000 ms each
    When "coach" sends 3 requests
    And "coach" sends a request with 1500 ms left
    Then 1 requests were refused with DEADLINE_UNREACHABLE

  Scenario: A request whose turn comes too late to meet its deadline is not started
    Given backend "b1" of incarnation 5 announces 1 slots
    And 30 requests of "coach" ran for 1000 ms each
    When "coach" sends 1 requests
    And "coach" sends a request with 1900 ms left
    And "coach" sends a request with 60000 ms left
    And 1500 ms pass
    And the oldest running request ends
    Then 1 requests were refused with DEADLINE_UNREACHABLE
    And the last granted request was the last one sent
    And 1 slots are in use

  Scenario: Hundreds of cancellations leave the rest in order
    Given backend "b1" of incarnation 5 announces 1 slots
    When "coach" sends 300 requests
    And all waiting requests but the last are cancelled
    And the oldest running request ends
    Then the last granted request was the last one sent

  Scenario: A request sent twice is granted one slot
    Given backend "b1" of incarnation 5 announces 4 slots
    When "coach" sends 1 requests
    And the last request is sent again
    Then 1 slots are in use

  Scenario: A repeated Idempotency-Key is reported as a duplicate
    Given backend "b1" of incarnation 5 announces 4 slots
    When "coach" sends a request with the key "k" through entry 1
    And "coach" sends a request with the key "k" through entry 2
    Then 1 requests are granted
    And the second request is reported as a duplicate of the first at entry 1

  Scenario: A failing backend server is ejected, but never all of them
    Given backend "b1" of incarnation 5 announces 1 slots
    And backend "b2" of incarnation 5 announces 1 slots
    When every request of the next 20 fails
    And 100 ms pass
    Then 1 backend servers are ejected

  Scenario: Retries are limited by the team's retry budget
    Given backend "b1" of incarnation 5 announces 4 slots
    When 40 requests of "coach" fail and are retried
    Then at most 14 retries were granted

  Scenario: Connections of all entries stay within the announced number
    Given backend "b1" of incarnation 5 announces 8 slots
    When "coach" sends 8 requests through every entry
    Then the connections allowed are at most 64 less 4 for probes

  Scenario: Nothing is granted without the lease or after its release
    Given backend "b1" of incarnation 5 announces 4 slots
    When the dispatch lease expires
    And "coach" sends 1 requests
    Then 0 requests are granted
    When the dispatch lease is renewed
    Then 1 requests are granted
    When the lease is released and "coach" sends one more request
    Then 1 requests were refused with NO_DISPATCHER

  Scenario: Nothing is granted on an allotment whose lease has expired
    Given backend "b1" of incarnation 5 announces 4 slots
    When the allotments' lease expires
    And "coach" sends 1 requests
    Then 0 requests are granted
    And an allotment is requested from control

  Scenario: A burst of requests by one team leaves the other its share
    Given backend "b1" of incarnation 5 announces 3 slots
    When "coach" sends 200 requests
    And "school" sends 100 requests
    And 90 requests end one after the other
    Then "school" got between 29 and 31 of the last 90 grants
