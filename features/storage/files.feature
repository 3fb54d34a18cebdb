Feature: What was synced is found again, and damage is never taken for a crash

  Scenario: A log cut at any byte gives back every whole entry
    Given a store with 5 synced entries
    When its log is cut at each byte in turn and opened
    Then each time the entries before the cut are there and the rest is gone

  Scenario: Damage in the middle of the log is refused with its place
    Given a store with 5 synced entries
    When a bit of record 2 is flipped and the store is opened
    Then opening fails and names "log:" and "damaged record"

  Scenario Outline: A damaged <file> is refused
    Given a store with 5 synced entries
    And a snapshot of the first 3
    When a bit of the file "<file>" is flipped and the store is opened
    Then opening fails and names "<file>" and "checksum"

    Examples:
      | file     |
      | term     |
      | snapshot |
      | identity |

  Scenario: A folder without its identity is refused
    Given a store with 5 synced entries
    When the file "identity" is lost and the store is opened
    Then opening fails and names "identity" and "missing"

  Scenario: A folder of another process is refused
    Given a store with 5 synced entries
    When another process opens it
    Then opening fails and names "identity" and "belongs to"

  Scenario: Term, vote and identity are found again
    Given a store with 5 synced entries
    When it has crashed and is opened again
    Then the member, term 3 and the vote are the same

  Scenario: A wiped folder gets another identity
    Given a store with 5 synced entries
    When its folder is wiped and opened again
    Then it is another member without a term, a vote or entries

  Scenario: A log that ends before the snapshot goes on after it
    Given a store with 5 synced entries
    When a snapshot that covers 9 entries arrives and the process ends
    Then the log begins after entry 9

  Scenario: A dropped prefix stays dropped and the rest stays
    Given a store with 5 synced entries
    And a snapshot of the first 3
    When the first 2 entries are dropped and the store is opened again
    Then the entries 3 to 5 are there

  Scenario: A full disk takes none of a batch
    Given a store with 5 synced entries
    When the disk has room for 10 bytes and 3 entries are appended
    Then the append fails and the log holds 5 entries

  Scenario: One process for one data folder
    Given a data folder on disk that a process holds
    When it is opened once more
    Then opening fails and names "another process"

  Scenario: Files on disk are appended to, cut and replaced
    Given a data folder on disk that a process holds
    When "abcdef" is appended, cut to 3 bytes, and another file replaced twice
    Then both files hold what was written last

  Scenario: The whole state survives a snapshot
    Given a state with a team, a key, a deleted pool and refused commands
    When it is encoded and decoded
    Then the states are equal
    And a command that is sent again gets its first outcome
