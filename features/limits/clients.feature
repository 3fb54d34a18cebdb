Feature: What clients that nobody controls can use is bounded

  Scenario: Bodies of one address do not keep those of another waiting
    # A crowd that asked first would otherwise get every free byte.
    Given a pool of 100 bytes
    And "a" has reserved 100 bytes
    When 100 bytes are asked for by "a, a, b, a"
    And the first reservation ends
    Then "b" is admitted next

  Scenario: Of one address the smallest body is admitted first
    Given a pool of 100 bytes
    And "a" has reserved 100 bytes
    When "a" asks for 90 bytes, and then for 10
    And the first reservation ends
    Then the 10 bytes are admitted first

  Scenario: A body that stalls loses its bytes to one that waits
    Given a pool of 100 bytes
    And "a" has reserved 100 bytes
    When "a" sends nothing while "b" waits for 100 bytes
    Then the bytes of "a" are taken away
    And "b" gets them once "a" has ended

  Scenario: A complete request keeps its bytes while it is served
    Given a pool of 100 bytes
    And "a" has reserved 100 bytes and is being served
    When "a" sends nothing while "b" waits for 100 bytes
    Then "a" keeps its bytes, and "b" gets none

  Scenario: A body above the size of the pool is admitted alone
    # A configuration may allow larger bodies than the pool has bytes.
    Given a pool of 100 bytes
    Then 500 bytes are admitted alone, and 1 byte waits for them

  Scenario: At the bound idle connections are closed, and never served ones
    Given a port for 3 connections
    And a connection that was served, one that never was, and one being served
    When further connections are opened
    Then the connection that was never served is closed first
    And the connection that was served is closed next
    And the connection being served is never closed

  Scenario: The oldest answers that nobody takes make room for new ones
    Given room for 100 bytes of answers
    When answers of 60, 30 and 60 bytes are begun
    Then only the first answer is dropped

  Scenario: Bodies that would take a multiple of their size are not decoded
    Then a job of 20000 steps is refused
    And a configuration of 200000 teams is refused
    And a job of 1000 steps whose content holds 20000 brackets is accepted

  Scenario: The limits for callers are those of the configuration
    Then a configuration without limits has the four defaults
    And a configuration with a body limit of 1000 has that and three defaults
    And a configuration with a body limit of 0 is refused
    And an older log's configuration has the four defaults

  Scenario: Every node takes the limits from the process that leads
    Then a gateway takes the limits that the leader names
    And it ignores those of a process that does not lead
