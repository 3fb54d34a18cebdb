Feature: The margin: how many further losses the voters tolerate

  Scenario Outline: The margin of <size> voters falls with each loss
    Given a simulated cluster of <size> cores with seed <seed>
    And a stable leader
    Then the leader measures a margin of <first> of <promised> promised losses
    When a follower is down for 1000 ms
    Then the leader measures a margin of <second> of <promised> promised losses
    And only that follower is listed as silent
    When that follower is up again for 1000 ms
    Then the leader measures a margin of <first> of <promised> promised losses

    Examples:
      | size | seed | first | promised | second |
      | 3    | 31   | 1     | 1        | 0      |
      | 5    | 32   | 2     | 2        | 1      |

  Scenario: A replacement counts only once the lost voter has been removed
    Given a simulated cluster of 3 cores with at most 3 voters, seed 33
    And a stable leader
    When a follower is down for 1000 ms
    And a further core starts in its place
    Then the margin stays 0 until the removal of its vote is committed
    And the leader measures a margin of 1 of 1 promised losses

  Scenario: A core that catches up takes the place of the silent voter
    Given a simulated cluster of 3 cores with seed 34
    And a stable leader
    When a follower loses its disk and restarts with a new one without a vote
    Then a core that catches up was listed before the margin rose

  Scenario: Voters that never existed reduce the margin too
    Given a simulated cluster of 2 cores with at most 3 voters, seed 40
    And a stable leader
    Then the leader measures a margin of 0 of 1 promised losses

  Scenario: Only a leader measures the margin, and not before the voters could reply
    Given a simulated cluster of 3 cores with seed 35
    And a stable leader
    Then no follower measures a margin
    When the leader hands over leadership
    Then the next leader never measures a margin below 1

  Scenario: The voters tolerate the measured margin and no more
    Then in 120 clusters the voters tolerate exactly the measured margin

  Scenario: A flapping voter does not cause a log line each time
    Given a simulated cluster of 3 cores with seed 36
    And a stable leader
    And its margin is watched
    When 20 times a follower is cut off for 700 ms and connected for 350 ms
    Then the log lines show the margins "1 0"
    When the margin is watched for 4000 ms
    Then the log lines show the margins "1 0 1"
    And the last line shows how long the margin was too small

  Scenario: A voter that is cut off for longer is logged each time
    Given a simulated cluster of 3 cores with seed 37
    And a stable leader
    And its margin is watched
    When 2 times a follower is cut off for 3000 ms and connected for 3000 ms
    Then the log lines show the margins "1 0 1 0 1"

  Scenario: A better margin is reported once its lowest value has lasted
    When the margins below of 2 are measured every 100 ms and must last for 300 ms
      | measured | reported | below_ms |
      | 2        | 2        | 0        |
      | 1        | 1        | 0        |
      | 0        | 0        | 100      |
      | 2        | 0        | 200      |
      | 0        | 0        | 300      |
      | 2        | 0        | 400      |
      | 1        | 0        | 500      |
      | 2        | 0        | 600      |
      | 2        | 1        | 700      |
      | 2        | 1        | 800      |
      | 2        | 1        | 900      |
      | 2        | 1        | 1000     |
      | 2        | 2        | 0        |
    Then the reported margin and the time below the promised one are as in the table

  Scenario: However a voter flaps, there are few log lines
    Then cuts of any lengths cause at most two lines per longest election timeout

  Scenario: A leader that was frozen itself does not list the others as silent
    Given a simulated cluster of 3 cores with seed 38
    And a stable leader
    And its margin is watched
    When the leader is frozen for 700 ms and then handles a timer first
    And the margin is watched for 500 ms
    Then the log lines show the margins "1"

  Scenario: A replica that stopped leading shows no margin
    Given a simulated cluster of 3 cores with seed 39
    And a stable leader
    And its margin is watched
    Then the watched replica shows a margin of 1 of 1 promised losses
    When the leader is cut off from the others
    And 3000 ms pass before the margin is checked again
    Then the watched replica shows no margin
