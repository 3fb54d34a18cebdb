Feature: Channels to processes that are found at run time

  Scenario: A process that closes each connection at once is dialled less often
    When each connection to a process ends as soon as it is made
    Then the pauses between 8 dials double from 30 to 300 ms

  Scenario: A process is dialled again at once after a connection that held
    When each connection to a process holds for 2000 ms
    Then the pauses between 8 dials are 30 ms

  Scenario: A message outlives a dial that hangs while its process comes back
    # The dial was given up after longer than a message may wait.
    Given a process whose machine answers no dial
    When a message is sent to it and it is back and connects 250 ms later
    Then the message reaches it
