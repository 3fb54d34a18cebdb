Feature: A replica's files after a loss of power at any write

  Scenario: What was acknowledged is there after a loss of power
    When the power is lost at a random write of a random history, 400 times
    Then the store opens each time and holds what was acknowledged

  Scenario: A new folder is opened after a loss of power at each of its writes
    When the power is lost at each write of a new folder in turn
    Then the store opens each time and holds what was acknowledged

  Scenario: A missing write before a present one is a torn end, not damage
    # Entries are written while earlier ones are being synced.
    Given a log of 2 synced entries and 2 writes that were not synced
    When the power is lost and only the last write is present
    Then the store opens with 2 entries

  Scenario Outline: A store that leaves out a <sync> sync loses acknowledged data
    When the power is lost at random writes without <sync> syncs, 400 times
    Then acknowledged data is lost at least once

    Examples:
      | sync   |
      | file   |
      | folder |
