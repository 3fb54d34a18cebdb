Feature: How many further losses the voters bear

  Scenario Outline: The margin of <size> voters falls with each loss
    Given a world of <size> cores with seed <seed>
    And a stable leader
    Then the leader counts <first> borne of <promised> promised losses
    When a follower is gone for 1000 ms
    Then the leader counts <second> borne of <promised> promised losses
    And that follower alone is called silent
    When that follower is back for 1000 ms
    Then the leader counts <first> borne of <promised> promised losses

    Examples:
      | size | seed | first | promised | second |
      | 3    | 31   | 1     | 1        | 0      |
      | 5    | 32   | 2     | 2        | 1      |

  Scenario: A replaced voter counts only once the lost one has left the voters
    Given a world of 3 cores of which 3 vote, seed 33
    And a stable leader
    When a follower is gone for 1000 ms
    And a further core starts in its place
    Then the margin stays 0 until its vote is gone for good
    And the leader counts 1 borne of 1 promised losses

  Scenario: The silent voter's place is taken by a core that catches up
    Given a world of 3 cores with seed 34
    And a stable leader
    When a follower loses its disk for good and a new one starts without a vote
    Then a core that catches up was counted before the margin rose

  Scenario: Voters that were never there are missed too
    Given a world of 2 cores of which 3 vote, seed 40
    And a stable leader
    Then the leader counts 0 borne of 1 promised losses

  Scenario: Only a leader counts, and not before the voters could answer
    Given a world of 3 cores with seed 35
    And a stable leader
    Then no follower counts
    When the leader hands over
    Then the next leader never counts fewer than 1 borne losses

  Scenario: What is counted as borne is borne, and no more
    Then in 120 worlds the voters bear just the losses that were counted

  Scenario: A voter that comes and goes does not write a line each time
    Given a world of 3 cores with seed 36
    And a stable leader
    And its margin is watched
    When 20 times a follower is cut off for 700 ms and reached for 350 ms
    Then the lines tell of the margins "1 0"
    When the margin is watched for 4000 ms
    Then the lines tell of the margins "1 0 1"
    And the last line tells for how long the margin was too small

  Scenario: A voter that is gone for longer is told of each time
    Given a world of 3 cores with seed 37
    And a stable leader
    And its margin is watched
    When 2 times a follower is cut off for 3000 ms and reached for 3000 ms
    Then the lines tell of the margins "1 0 1 0 1"

  Scenario: A better margin is told once the worst of it has lasted
    When the margins below of 2 are seen every 100 ms and must last for 300 ms
      | seen | told | below_ms |
      | 2    | 2    | 0        |
      | 1    | 1    | 0        |
      | 0    | 0    | 100      |
      | 2    | 0    | 200      |
      | 0    | 0    | 300      |
      | 2    | 0    | 400      |
      | 1    | 0    | 500      |
      | 2    | 0    | 600      |
      | 2    | 1    | 700      |
      | 2    | 1    | 800      |
      | 2    | 1    | 900      |
      | 2    | 1    | 1000     |
      | 2    | 2    | 0        |
    Then what is told, and since when it is too small, is as in the table

  Scenario: However a voter comes and goes, lines stay few
    Then cuts of any lengths give at most two lines for each longest timeout

  Scenario: A leader that was stopped itself does not call the others silent
    Given a world of 3 cores with seed 38
    And a stable leader
    And its margin is watched
    When the leader is frozen for 700 ms and meets a timer first
    And the margin is watched for 500 ms
    Then the lines tell of the margins "1"

  Scenario: A replica that stopped leading shows no margin
    Given a world of 3 cores with seed 39
    And a stable leader
    And its margin is watched
    Then the watched replica shows 1 borne of 1 promised losses
    When the leader is cut off from the others
    And 3000 ms pass before the margin is looked at again
    Then the watched replica shows no margin
