Feature: Logging never blocks on the reader of the log

  Scenario: A reader that reads nothing causes dropped lines, not delays
    Given a log stream whose reader takes nothing
    When 100000 lines of 100 bytes are written
    Then at most 4 MB of them wait
    When the reader takes everything
    Then the last line tells how many were dropped
