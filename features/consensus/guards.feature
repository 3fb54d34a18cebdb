Feature: Each rule of the core on its own

  Each scenario drives a single core event by event and fails if its rule is
  missing.

  Scenario: A vote outlives a restart
    Given a core of a, b and c that has voted for b in term 5
    When it restarts from its disk and c requests its vote in term 5
    Then it refuses

  Scenario: An entry of an older term is not committed by counting replies
    Given a core of a, b and c with entries of term 2 that leads term 4
    When b acknowledges the entries of term 2
    Then nothing is committed
    When b acknowledges the first entry of term 4
    Then all entries are committed

  Scenario: The leader's own entry counts only once it is synced
    Given a core of a, b and c that leads and has not synced its entry
    When b acknowledges that entry
    Then nothing is committed
    When its own sync ends
    Then all entries are committed

  Scenario: A sync of truncated entries does not count for the entries that replace them
    Given a core of a, b and c that has written an unsynced entry of term 1
    When a leader of term 2 replaces it before the first sync ends
    Then the end of the first sync does not acknowledge the new entry

  Scenario: Term and vote are persisted before a message contains them
    Given a core of a, b and c that has not heard from a leader
    When c requests its vote in term 7
    Then the vote is persisted before it is sent

  Scenario: A restarted voter grants no vote while a lease may rely on its replies
    Given a core of a, b and c that has just restarted
    When c requests its vote in term 7
    Then it refuses

  Scenario: A leader has no lease once it has asked another member to take over
    Given a core of a, b and c that leads with a lease
    When a hand-over is requested and b is asked to take over
    Then it holds no lease

  Scenario: A second change of membership waits for the first
    Given a core of a, b and c that leads with a lease
    When two learners are requested at once
    Then only the first is appended

  Scenario: A change of membership waits for an entry of the own term
    Given a core of a, b and c that leads and has not synced its entry
    When a learner is requested
    Then no membership is appended

  Scenario: A read waits for a round that began after it
    Given a core of a, b and c that leads with a lease
    When its lease has expired and a read is requested
    Then a reply to an earlier round does not confirm it
    And a reply to the next round confirms it

  Scenario: A follower that requests a read learns the commit index at once
    Given a core of a, b and c that leads with a lease
    When b requests a read
    Then the read is confirmed and b is sent the commit index

  Scenario Outline: A snapshot that ends in term <term> <fate> later entries
    Given a core of a, b and c with uncommitted entries 1 to 5 of term 1
    When a snapshot up to entry 3 of term <term> is installed
    Then its log ends at <last>

    Examples:
      | term | fate    | last |
      | 1    | keeps   | 5    |
      | 2    | replaces | 3   |
