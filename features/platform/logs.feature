Feature: Logging never blocks on the reader of the log

  Scenario: A reader that reads nothing causes dropped lines, not delays
    Given a log stream whose reader takes nothing
    When 100000 lines of 100 bytes are written
    Then at most 4 MB of them wait
    When the reader takes everything
    Then the last line tells how many were dropped

  Scenario: The log tells once a second how long the leader's slowest turn took
    Given a leader with 3 workers whose log is read
    When its turns take 20, 130, 400 and 99 ms within a second
    And a turn of 250 ms ends 1200 ms later
    Then the log has the slow turns 400 and 250, of 2 and 1 turns
