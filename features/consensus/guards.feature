Feature: Each rule of the core on its own

  A core is stepped by hand, so that one missing rule shows at once.

  Scenario: A vote outlives a restart
    Given a core of a, b and c that has voted for b in term 5
    When it restarts from its disk and c asks for its vote in term 5
    Then it refuses

  Scenario: An entry of an older term is not committed by counting answers
    Given a core of a, b and c with entries of term 2 that leads term 4
    When b answers that it has synced the entries of term 2
    Then nothing is committed
    When b answers that it has synced the first entry of term 4
    Then all entries are committed

  Scenario: The leader's own entry counts only once it is synced
    Given a core of a, b and c that leads and has not synced its entry
    When b answers that it has synced that entry
    Then nothing is committed
    When the own sync ends
    Then all entries are committed

  Scenario: A sync of entries that were cut off does not count for new ones
    Given a core of a, b and c that has written an unsynced entry of term 1
    When a leader of term 2 has it replaced before the first sync ends
    Then the end of the first sync does not answer for the new entry

  Scenario: Term and vote are on disk before a message tells them
    Given a core of a, b and c that has heard no leader
    When c asks for its vote in term 7
    Then the vote is persisted before it is sent

  Scenario: A restarted voter waits out a lease that it may have granted
    Given a core of a, b and c that has just restarted
    When c asks for its vote in term 7
    Then it refuses

  Scenario: After a hand-over has begun no lease is claimed
    Given a core of a, b and c that leads with a lease
    When it is asked to hand over and b is told to take over
    Then it claims no lease

  Scenario: A second change of membership waits for the first
    Given a core of a, b and c that leads with a lease
    When two learners are asked for at once
    Then only the first is appended

  Scenario: A change of membership waits for an entry of the own term
    Given a core of a, b and c that leads and has not synced its entry
    When a learner is asked for
    Then no membership is appended

  Scenario: A read waits for a round that began after it
    Given a core of a, b and c that leads with a lease
    When its lease has run out and a read is asked for
    Then an answer to an earlier round does not confirm it
    And an answer to the next round confirms it

  Scenario: A follower that asks for a read hears at once what is committed
    Given a core of a, b and c that leads with a lease
    When b asks for a read
    Then the read is confirmed and b is told the commit index

  Scenario Outline: A snapshot that ends in term <term> <fate> later entries
    Given a core of a, b and c with unsure entries 1 to 5 of term 1
    When a snapshot up to entry 3 of term <term> is installed
    Then its log ends at <last>

    Examples:
      | term | fate    | last |
      | 1    | keeps   | 5    |
      | 2    | replaces | 3   |
