Feature: Channels to processes that are discovered at run time

  Scenario: A process that closes each connection immediately is redialled less often
    When each connection to a process is closed as soon as it is opened
    Then the pauses between 8 dials double from 30 to 300 ms

  Scenario: A connection that lasted resets the pause before the next dial
    When each connection to a process lasts 2000 ms
    Then the pauses between 8 dials are 30 ms

  Scenario: A message is delivered although the first dial to its process hangs
    # A dial that hung while the machine was down ended only after the pending
    # message had expired.
    Given a process whose machine does not answer dials
    When a message is sent to the process, which answers and connects 250 ms later
    Then the message reaches the process

  Scenario: A message on a connection that has been replaced is dropped
    # A call that was delayed on the old connection would take effect after a
    # later attempt had been refused as not run.
    Given a process that another one has connected to twice
    When a message is sent on the first connection and one on the second
    Then only the message of the second connection is delivered

  Scenario: A process that restarts after its clock was set back reaches the others
    # Incarnations are start times. Others dropped all that the process sent.
    Given a process that has sent a message from a start at 9000 ms
    When it restarts at 5000 ms by its clock and sends a message every 50 ms
    Then a message of the second start arrives within 2000 ms

  Scenario: A process that ended is not revived by its delayed messages
    Given a process that has sent a message from a start at 9000 ms
    When a connection of its start at 5000 ms brings a message, unanswered
    Then no message of the second start arrives within 500 ms
