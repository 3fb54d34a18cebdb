Feature: Reports of other writers do not push a sound worker out

  Background:
    Given a simulation of 3 workers without faults
    When job "a" of 1 step of 3 tasks of 60000 ms is submitted
    And the simulation runs for 1000 ms

  Scenario Outline: A report from which no worker can be used is refused in place of a sound one
    When another writer reports "w0" with <change>
    Then the report is refused
    When the simulation runs for 1000 ms
    Then worker "w0" is known to the leader and 3 runs have started
    And no guarantee was violated

    Examples:
      | change                                                   |
      | id same, start 9007199254740991, service same            |
      | id other, start 9007199254740991, service same           |
      | id same, start later, service unnamed                    |
      | id other, start later, service unnamed                   |
      | id same, start same, service unnamed                     |
      | id same, start same, service same and a number far ahead |

  Scenario Outline: A worker is back if what replaced it is silent and it still reports
    When another writer reports "w0" with <change>
    And the simulation runs for 65000 ms
    Then worker "w0" is known to the leader
    And worker "w0" gets runs when job "b" of 48 tasks is submitted
    And no guarantee but that of the replaced runs was violated

    Examples:
      | change                                |
      | id same, start later, service same    |
      | id other, start later, service same   |

  Scenario: A start in the future gives way to a worker that reports
    Given a worker "w9" of the same instance with start 9007199254740991 has reported alone
    When the simulation runs for 1000 ms
    Then worker "w0" is known to the leader

  Scenario Outline: A shutdown of another life does not end a worker that reports
    When another writer says that "w0" with start <start> has left
    Then the report is refused
    When the simulation runs for 1000 ms
    And a new leader takes over
    And the simulation runs for 1000 ms
    Then worker "w0" is known to the leader
    And no guarantee was violated

    Examples:
      | start            |
      | 9007199254740991 |
      | later            |

  Scenario: Delayed reports of a replaced worker stay stale while they can be under way
    When the simulation runs for 1000 ms
    And worker "w0" shuts down in an orderly way
    And a delayed report of worker "w0" arrives
    Then the report is refused
    When the simulation runs for 30000 ms
    And a delayed report of worker "w0" arrives
    Then the report is refused
