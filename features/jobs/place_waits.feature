Feature: Tasks wait for a place near their data or group only where that pays

  # A fixed wait is too long or too short for most of these.
  Scenario Outline: A task waits if its rack has room before the time it would lose
    Given racks of one worker each: r0, r1; tasks take <factor> times as long elsewhere
    And rack r0 is full for <full> ms more
    When a task of 8 cores and <ms> ms with data in r0 is submitted
    Then it starts in <rack> after <least> to <most> ms

    Examples:
      | factor | full | ms   | rack | least | most |
      | 2      | 400  | 1500 | r0   | 300   | 900  |
      | 3      | 500  | 1500 | r0   | 400   | 1000 |
      | 1.5    | 400  | 1000 | r1   | 0     | 250  |
      | 1      | 400  | 1500 | r1   | 0     | 250  |
      | 3      | 2500 | 3000 | r1   | 0     | 250  |

  # Remote runs would take the time of others, which half of the loss leaves out.
  Scenario Outline: A task waits longer where little of the service is free
    Given racks of one worker each: r0, r1; tasks take 2 times as long elsewhere
    And <used> cores of rack r1 are used for 3000 ms more
    And rack r0 is full for 550 ms more
    When a task of 4 cores and 1000 ms with data in r0 is submitted
    Then it starts in <rack> after <least> to <most> ms

    Examples:
      | used | rack | least | most |
      | 26   | r0   | 450   | 1000 |
      | 16   | r1   | 0     | 250  |

  Scenario: A task that must start now to be in time does not wait
    Given racks of one worker each: r0, r1; tasks take 2 times as long elsewhere
    And rack r0 is full for 400 ms more
    And jobs have 1600 ms from their admission
    When a task of 8 cores and 1500 ms with data in r0 is submitted
    Then it starts in r1 after 0 to 250 ms

  Scenario: A task starts in its rack although another has less room
    Given racks of one worker each: r0, r1; tasks take 2 times as long elsewhere
    And 28 cores of rack r1 are used for 3000 ms more
    When a task of 4 cores and 1500 ms with data in r0 is submitted
    Then it starts in r0 after 0 to 250 ms

  Scenario: What a waiting task leaves free is used by others
    Given racks of one worker each: r0, r1; tasks take 2 times as long elsewhere
    And rack r0 is full for 400 ms more
    And a task of 32 cores and 1500 ms with data in r0 waits
    Then it waits because of "near_data"
    When a task of 32 cores and 1000 ms without data is submitted
    Then it starts in r1 after 0 to 250 ms

  # With one forecast for all, each would wait for the same room.
  Scenario: Only as many tasks wait for a hot rack as find room there
    Given racks of one worker each: r0, r1, r2, r3, r4; tasks take 2 times as long elsewhere
    And rack r0 is full for 400 ms more
    When 8 tasks of 16 cores and 1500 ms with data in r0 are submitted
    Then 6 of them start elsewhere within 250 ms
    And 2 of them start in r0 within 900 ms
    And the log tells that 2 waits have paid

  Scenario Outline: A gang waits for one rack as a whole
    Given racks of one worker each: r0, r1; tasks take <factor> times as long elsewhere
    And 16 cores of rack r1 are used for 5000 ms more
    And 16 cores of rack r0 are used for <full> ms more
    When a gang of 4 tasks of 8 cores and 1500 ms for one rack is submitted
    Then its tasks start together in <racks> after <least> to <most> ms

    Examples:
      | factor | full | racks  | least | most |
      | 2      | 400  | r0     | 300   | 900  |
      | 2      | 3000 | r0, r1 | 0     | 250  |
      | 1      | 400  | r0, r1 | 0     | 250  |

  Scenario: A step of single tasks for one rack is not spread
    Given racks of one worker each: r0, r1, r2; tasks take 2 times as long elsewhere
    And 28 cores of rack r2 are used for 3000 ms more
    When 4 tasks of 8 cores and 1000 ms for one rack are submitted
    Then 4 of them start in r0 within 250 ms

  Scenario: A rack that falls silent is not waited for
    Given racks of one worker each: r0, r1; tasks take 2 times as long elsewhere
    And rack r0 is full for 700 ms more
    And a task of 8 cores and 2000 ms with data in r0 waits
    When rack r0 falls silent
    Then it starts in r1 within 700 ms of that

  # The next leader knows nothing of the first wait and would add a second one.
  Scenario: A new leader lets no job wait again
    Given racks of one worker each: r0, r1; tasks take 2 times as long elsewhere
    And rack r0 is full for 700 ms more
    And a task of 8 cores and 2000 ms with data in r0 waits
    When another leader begins with the committed book
    Then it starts in r1 within 500 ms of that

  Scenario Outline: No job starves because it waits
    When <data> load with <rate> jobs a second runs for 8 s in 4 racks
    Then tasks have waited
    And no wait has taken more than 1200 ms
    And no job was starving while it waited
    And all jobs have completed without a violation

    Examples:
      | data   | rate |
      | hot    | 2    |
      | spread | 3    |
      | hot    | 3    |

  # The factor of the queue would rise to 3, and with it all forecasts.
  Scenario: Remote runs do not change the run times of their queue
    Given racks of one worker each: r0, r1; tasks take 3 times as long elsewhere
    When 30 tasks of 2 cores and 800 ms with data in r9 are submitted
    And 8000 ms pass in the racks
    Then the run times of the queue are known within a third
