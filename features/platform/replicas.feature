Feature: Replicas of the job book

  Scenario: A leader whose disk is full hands over leadership
    Given three replicas of the book
    And configuration 1 is in force there
    When the leader's disk is full
    And configuration 2 is put there
    Then another replica has answered
    And configuration 2 is read back

  # A full disk must not keep its replica out once it has room.
  Scenario: A replica whose disk was full takes part again by itself
    Given three replicas of the book
    And configuration 1 is in force there
    When the leader's disk is full
    And configuration 2 is put there
    Then another replica has answered
    When all disks have room again
    Then configuration 2 is read back at every replica that leads in turn

  Scenario: Acknowledged configurations survive a loss of power of all replicas
    Given three replicas of the book
    And configuration 1 is in force there
    When 40 configurations follow
    And all replicas lose power and start again
    Then configuration 41 is read back
    And every replica has made a snapshot

  Scenario: An uncommitted batch that is lost with its leader is not in the book
    Given three replicas of the book
    And configuration 1 is in force there
    When the leader is cut off and takes configuration 9
    And configuration 2 is put at the others
    And the leader is connected again
    Then configuration 2 is read back at every replica that leads in turn

  Scenario: A failed turn leaves no partial decisions
    Given three replicas of the book
    And configuration 1 is in force there
    When the next turn of every replica that decides something fails
    And configuration 2 is put there
    Then configuration 2 is read back

  Scenario: Calls that cannot be decoded are refused and restart nothing
    # More of them than failures of a task end a process.
    Given three replicas of the book
    And configuration 1 is in force there
    When every replica gets 30 calls that cannot be decoded
    Then no task of a replica has failed
    When configuration 2 is put there
    Then configuration 2 is read back

  Scenario Outline: A call that fails is refused, and the others go on
    # More of them than failures of a task end a process. The replicas share a
    # process and lose their leader to a pause of 200 ms with shorter timings.
    Given three replicas of the book with the timings of separate machines
    And configuration 1 is in force there
    And a call about wave 666 <trouble>
    When the leader gets 30 calls about wave 666 beside configuration 2
    Then no task of a replica has failed
    And each call about wave 666 is answered with "<answer>"
    And configuration 2 is read back
    And the same replica leads

    Examples:
      | trouble                            | answer     |
      | raises an error                    | BadRequest |
      | raises an error after a decision   | BadRequest |
      | decides what cannot be encoded     | BadRequest |
      | has an answer that raises an error | NotLeading |
      | has an answer that does not encode | NotLeading |

  Scenario: The leader reports that the next loss would stop the service
    Given three replicas of the book
    And configuration 1 is in force there
    And the log lines on the loss margin are recorded
    When a replica that follows loses power
    Then the leader shows 0 losses borne of 1, for 0.2 s or longer
    And the other follower shows nothing
    When that replica starts again
    Then the leader shows 1 losses borne of 1
    And the recorded lines report a fall to 0 and a rise to 1
