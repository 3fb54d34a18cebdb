Feature: The leader's turns are bounded

  The replicas share a process. With shorter timings the leader loses its office
  to a pause of 200 ms, and what reached it before is refused, not handled.

  # Hollybrook grown: 380 submissions came into one turn, which took 1.2 s.
  Scenario: Calls that arrive while an entry is not committed share no turn
    Given three replicas of the book with the timings of separate machines
    And configuration 1 is in force there
    And the calls of each turn are counted
    When 1000 submissions reach the leader at once
    Then all of them are handled
    And no turn handled more than 200 calls

  # Sound workers lost runs since their reports waited behind a long turn.
  Scenario: Reports that wait are read before workers are judged by time
    Given three replicas of the book with the timings of separate machines
    And configuration 1 is in force there
    When a tick and 20 reports reach the leader at once
    Then the reports are handled before the scheduler's timers run

  Scenario: The scheduler's timers run although more calls wait than a turn handles
    Given three replicas of the book with the timings of separate machines
    And configuration 1 is in force there
    And the calls of each turn are counted
    When 900 submissions reach the leader at once with a tick after each 100
    Then all of them are handled
    And the scheduler's timers have run
