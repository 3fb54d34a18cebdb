Feature: A restarted entry never serves below what it had applied

  Scenario: The version is stored before anybody sees the view
    Given an entry with a data folder that follows control-0
    When control-0 sends the state of version 4
    Then version 4 was stored before it was published

  Scenario: A burst of changes is stored a few times only
    Given an entry with a data folder that follows control-0
    When 500 changes wait in its mailbox and are handled
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

  Scenario: A file that holds no version stops the start
    Given an entry with a data folder that follows control-0
    When its version file is broken and the entry restarts
    Then the start fails and names the file
