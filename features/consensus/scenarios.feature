Feature: Elections, replication and membership, one fault at a time

  Scenario: A leader that loses its quorum steps down before it is replaced
    Given a simulated cluster of 3 cores with seed 1
    And a stable leader
    When the leader is cut off from the others
    Then it steps down without learning of another term
    And another core leads
    And no lease ever overlapped a commit of another leader

  Scenario: A follower that was cut off does not raise the term
    Given a simulated cluster of 3 cores with seed 2
    And a stable leader
    When a follower is cut off for 10000 ms and reconnected
    Then the leader and its term are the same

  Scenario: A partition in one direction does not leave two leaders
    Given a simulated cluster of 5 cores with seed 3
    And a stable leader
    When the leader no longer receives messages
    Then another core leads
    And commits continue

  Scenario: Entries that no quorum has synced are not committed
    Given a simulated cluster of 3 cores with seed 4
    And a stable leader
    When syncs take longer than the run and a command is proposed
    Then it is not committed within 400 ms

  Scenario: A replica restarted after 500 commands catches up by a snapshot
    Given a simulated cluster of 3 cores with seed 5
    And a stable leader
    When a follower is down while 500 commands are committed
    And the follower starts again
    Then every core holds the same commits
    And a snapshot was installed

  Scenario: A replaced disk has no vote until it has caught up
    Given a simulated cluster of 3 cores with seed 6
    And a stable leader
    And 100 committed commands
    When a follower loses its disk
    Then its new disk is a learner before it is a voter
    And the old disk is retired

  Scenario: A lost disk is replaced while commands keep coming
    Given a simulated cluster of 3 cores with seed 21
    And a stable leader
    And 100 committed commands
    When a follower loses its disk
    And commands are proposed every 20 ms for 3000 ms
    Then its new disk has a vote

  Scenario: A new disk grants no vote that could lose a commit
    Given a simulated cluster of 3 cores with seed 7
    And a stable leader
    And a command committed by the leader and one follower only
    When the leader is frozen and that follower loses its disk
    Then no core leads within 20000 ms
    And the commit is kept once the leader resumes

  Scenario: A second loss right after a recovery
    Given a simulated cluster of 3 cores with seed 8
    And a stable leader
    And 100 committed commands
    When a follower loses its disk and has its vote again
    And the leader is killed at once
    Then another core leads
    And commits continue

  Scenario: A planned stop hands leadership over within an election timeout
    Given a simulated cluster of 3 cores with seed 9
    And a stable leader
    When the leader is asked to hand over leadership
    Then another core leads within 200 ms
    And no lease ever overlapped a commit of another leader

  Scenario: A deployment grows from three voters to five
    Given a simulated cluster of 3 cores with seed 10
    And a stable leader
    When 2 new cores join one at a time
    Then every core holds the same commits
    And the membership has 5 voters

  Scenario: A member that is removed while it leads steps down
    Given a simulated cluster of 5 cores with seed 11
    And a stable leader
    When the leader is removed
    Then another core leads
    And the membership has 4 voters

  Scenario: One sync per replica for a batch of 50 commands
    Given a simulated cluster of 3 cores with seed 12
    And a stable leader
    When 50 commands are proposed at once
    Then they are committed with at most 3 syncs

  Scenario: The time without a leader after a kill
    Given 200 simulated clusters of 3 cores
    When the leader of each is killed
    Then the median time without a leader is at most 1.5 election timeouts
    And the longest is at most 3 election timeouts

  Scenario: No member is added while the limit on voters is reached
    Given a simulated cluster of 3 cores with at most 3 voters, seed 14
    And a stable leader
    When a further core waits to join
    Then the membership has 3 voters

  Scenario: The vote of a lost voter goes to another core
    Given a simulated cluster of 3 cores with at most 3 voters, seed 15
    And a stable leader
    When a further core waits to join
    And a follower is down for 8000 ms
    Then the membership has 3 voters
    And the follower has no vote
    When the follower starts again
    Then every member applies the leader's commits
    And the membership has 3 voters
