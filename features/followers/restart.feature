Feature: A restarted entry never serves an older state than it had applied

  Scenario: The version is stored before the view is published
    Given an entry with a data folder that follows control-0
    When control-0 sends the state of version 4
    Then version 4 was stored before it was published

  Scenario: The version is stored only a few times in a burst of changes
    Given an entry with a data folder that follows control-0
    When 500 changes are queued in its mailbox and handled
    Then at most 10 versions were stored and the last one is served

  Scenario: An older state is not trusted after a restart
    Given an entry with a data folder that follows control-0
    When control-0 sends the state of version 4
    And the leader confirms version 4
    Then the entry is fresh
    When the entry restarts and control-0 sends the state of version 3
    And the leader confirms version 3
    Then the entry is not fresh
    When control-0 sends the state of version 4
    And the leader confirms version 4
    Then the entry is fresh

  Scenario: An invalid version file prevents the start
    Given an entry with a data folder that follows control-0
    When its version file is corrupted and the entry restarts
    Then the start fails with an error that names the file

  Scenario: A reply to a heartbeat from before the restart renews nothing
    Given an entry with a data folder that follows control-0
    When control-0 sends the state of version 4
    And the entry sends 3 heartbeats, restarts and sends 3 again
    And control-0 answers the heartbeats from before the restart with a lease
    Then the entry is not fresh
    And its dispatcher has heard of no renewed lease
