Feature: Logs never wait for their reader

  Scenario: A reader that takes nothing costs lines, not time
    Given a log stream whose reader takes nothing
    When 100000 lines of 100 bytes are written
    Then at most 4 MB of them wait
    When the reader takes everything
    Then the last line tells how many were dropped
