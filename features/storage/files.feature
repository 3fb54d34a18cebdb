Feature: Synced data is recovered, and damage is not mistaken for a crash

  Scenario: A log truncated at any byte yields every complete entry
    Given a store with 5 synced entries
    When its log is truncated at each byte in turn and opened
    Then each time the complete entries are recovered and the rest is truncated

  Scenario: Damage in the middle of the log is refused, and its place is named
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
    When the file "identity" is missing and the store is opened
    Then opening fails and names "identity" and "missing"

  Scenario: A folder of another process is refused
    Given a store with 5 synced entries
    When another process opens it
    Then opening fails and names "identity" and "belongs to"

  Scenario: Term, vote and identity are recovered
    Given a store with 5 synced entries
    When it has crashed and is opened again
    Then the member, term 3 and the vote are the same

  Scenario: A wiped folder gets another identity
    Given a store with 5 synced entries
    When its folder is wiped and opened again
    Then it is a new member without a term, a vote or entries

  Scenario: A log that ends before the snapshot is reset to follow it
    Given a store with 5 synced entries
    When a received snapshot that covers 9 entries is saved and the process ends
    Then the log begins after entry 9

  Scenario: Removing a prefix of the log keeps the rest
    Given a store with 5 synced entries
    And a snapshot of the first 3
    When the first 2 entries are dropped and the store is opened again
    Then the log holds the entries 3 to 5

  Scenario: A full disk rejects a whole batch
    Given a store with 5 synced entries
    When the disk has room for 10 bytes and 3 entries are appended
    Then the append fails and the log holds 5 entries

  Scenario: Only one process can lock a data folder
    Given a data folder on disk that a process has locked
    When it is opened a second time
    Then opening fails and names "another process"

  Scenario: Files on disk are appended to, truncated and replaced
    Given a data folder on disk that a process has locked
    When "abcdef" is appended and truncated to 3 bytes, and another file is replaced twice
    Then both files hold the last content written

  Scenario: A snapshot preserves the whole state
    Given a state with a team, a key, a deleted pool and refused commands
    When it is encoded and decoded
    Then the states are equal
    And a command that is sent again gets its first outcome
