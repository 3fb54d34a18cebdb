Feature: A replica task keeps the changes that it has acknowledged

  The replica tasks of a test run in one process, with simulated disks in
  memory, and send their messages to each other's mailboxes.

  Scenario: A full disk rejects commands as "not run" and loses nothing
    Given 1 running replica
    When team "one" is put
    And the disk is full and team "two" is put
    Then that command is refused as not run
    When the disk has room again and team "three" is put
    And the replica crashes and starts again
    Then the teams are "one,three"

  Scenario: A follower with a full disk still follows its leader
    Given 3 running replicas
    When the disk of a follower is full and command "c1" puts team "one"
    Then the leader and its term stay for 2 longest election timeouts
    When that follower's disk has room again
    Then a read at each replica shows team "one"

  Scenario: A failed sync ends the process
    Given 1 running replica
    When team "one" is put
    And syncs fail and team "two" is put
    Then the process ends with an error about the data folder

  # The failed sync was repeated, and its success acknowledged what may be lost.
  Scenario: A sync that fails on a full disk ends the process
    Given 1 running replica
    When team "one" is put
    And syncs fail as the disk is full and team "two" is put
    Then the process ends with an error about the data folder

  Scenario: A command that is sent again after a leader change gets its first outcome
    Given 3 running replicas
    When command "c1" puts team "one" at a follower
    And the leader is killed
    And command "c1" puts team "one" at each running replica
    Then each answer is the first outcome

  Scenario: An appended command without a quorum is never reported as not run
    Given 3 running replicas
    When both followers are killed and command "c1" puts team "one"
    Then that command may or may not take effect

  Scenario: A read at a follower includes changes acknowledged by other replicas
    Given 3 running replicas
    When command "c1" puts team "one" at a follower
    Then a read at each replica shows team "one"

  Scenario: A restarted replica does not reuse the numbers of its reads
    Given 3 running replicas
    When a follower reads, is killed, is started and reads again
    Then each of its reads at the leader had a different number

  Scenario: A snapshot, a restart and a wiped disk keep state and outcomes
    Given 3 running replicas
    When 60 teams are put with a snapshot every 20 entries
    And a follower is killed, wiped and started
    Then a read at each replica shows 60 teams
    And a repeat of command "team-0" gets its first outcome at each replica
    And listeners at the wiped replica were notified of 60 teams

  Scenario: A retired disk that returns ends its process
    Given 3 running replicas
    When a follower's disk is replaced and then put back in
    Then the process ends with an error that contains "retired"

  Scenario: A first membership is formed only when every disk is new
    Given replicas a, b and c without a membership
    When a learns that b is new
    Then a does not form a membership
    When a learns that c has a membership
    Then a does not form a membership
    When a learns that c is new
    Then a forms a membership of all three
    And b, once it learns that a and c are new, does not form a membership
