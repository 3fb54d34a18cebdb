Feature: Calls while no leader is known

  Scenario: Callers with four retries outlast a loss of power of all leaders
    # Deponia's scale-1: all four instances with a disk are down for 5.7 s.
    When callers with 4 retries call every 100 ms during an outage of 6000 ms
    Then every caller is served after the outage

  Scenario: A call waits during an election
    Then a call waits for a leader if the outage has lasted 400 ms

  Scenario: A call is refused at once in a long outage
    Then a call is refused at once if the outage has lasted 3000 ms

  Scenario: An outage begins when the leader was last confirmed
    Given a leader that was confirmed at 10000 ms
    When the leader does not answer a call
    Then at 12500 ms the outage has lasted 2500 ms

  # Callers were told that the outcome is unknown, and may not submit such a job
  # elsewhere.
  Scenario: A job that never left its node has certainly not been stored
    Given a process whose machine does not answer dials
    When a node passes a job to it as the leader for 1200 ms
    Then the answer is that the job has not been stored

  Scenario: A job that a leader may have got has an unknown outcome
    Given a process that accepts connections and answers nothing
    When a node passes a job to it as the leader for 1200 ms
    Then the answer is that the outcome is unknown
