Feature: Replicas of the job book

  Scenario: A leader whose disk is full lets another one lead
    Given three replicas of the book
    And configuration 1 is in force there
    When the leader's disk is full
    And configuration 2 is put there
    Then another replica has answered
    And configuration 2 is read back

  Scenario: What was acknowledged outlives a loss of power of all
    Given three replicas of the book
    And configuration 1 is in force there
    When 40 configurations follow
    And all replicas lose power and start again
    Then configuration 41 is read back
    And every replica has made a snapshot

  Scenario: A batch that was lost with its leader is not in the book
    Given three replicas of the book
    And configuration 1 is in force there
    When the leader is cut off and takes configuration 9
    And configuration 2 is put at the others
    And the leader is in touch again
    Then configuration 2 is read back at every replica that leads in turn

  Scenario: A turn that fails leaves nothing half decided
    Given three replicas of the book
    And configuration 1 is in force there
    When every replica gets a call that cannot be decoded
    And configuration 2 is put there
    Then configuration 2 is read back

  Scenario: The leader tells that the next loss would stop service
    Given three replicas of the book
    And configuration 1 is in force there
    And the lines on the loss margin are kept
    When a replica that follows loses power
    Then the leader shows 0 losses borne of 1, and that for 0.2 s or longer
    And the other follower shows nothing
    When that replica starts again
    Then the leader shows 1 losses borne of 1
    And the kept lines tell of a fall to 0 and a rise to 1
