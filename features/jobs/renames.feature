Feature: Jobs follow queues and teams that are renamed

  Background:
    Given a simulation of 4 workers without faults

  # Hollybrook, LOST and UNASKED: a renamed route answered 410 for its jobs.
  Scenario Outline: A job stays reachable when its <what> is renamed
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the <what> is renamed
    Then job "a" is "active"
    When job "a" is submitted again
    Then the call is acknowledged
    When job "a" is cancelled
    Then the call is acknowledged
    When the simulation runs for 4000 ms
    Then 1 run has started
    And no guarantee was violated

    Examples:
      | what           |
      | queue          |
      | team           |
      | queue and team |

  Scenario: A job is known to the queue that takes its place later
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the queue is removed
    And the queue is renamed
    Then job "a" is "active"

  Scenario: Jobs keep their places when two queues exchange their names
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the queues exchange their names
    Then job "a" is "active"

  # Found by the random check of the job interface, LOST and ROUTE.
  Scenario Outline: A job keeps its place when another queue takes the name of its removed queue
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And <change>
    And the queue is back under another name
    Then job "a" is "active"

    Examples:
      | change                                                                   |
      | another queue takes its name as it is removed                            |
      | the queue is removed and another queue takes its name                    |
      | the queue is removed and another queue takes its name, then a new leader |

  # Found by the random check of the job interface, LOST.
  Scenario Outline: A team keeps its jobs when another team takes its name
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And <change>
    Then job "a" is unknown to the other team
    When the team is back under another name
    Then job "a" is "active"

    Examples:
      | change                                                                 |
      | another team takes its name as it is removed                           |
      | the team is removed and another team takes its name                    |
      | the team is removed and another team takes its name, then a new leader |

  Scenario: Waiting jobs are counted under the new name of their queue
    When 3 jobs wait behind a full pool
    And the queue is renamed
    Then 3 jobs are pending

  Scenario: Running tasks of a renamed team count against its cap
    Given a cap of 2000 milli-cores for each team
    When job "a" of 1 step of 2 tasks of 9000 ms is submitted
    And the simulation runs for 1000 ms
    And the team is renamed
    And job "b" of 1 step of 1 task of 9000 ms is submitted
    And the simulation runs for 2000 ms
    Then 2 runs have started

  Scenario: A team keeps its jobs when its keys are exchanged
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the team gets other keys
    Then job "a" is "active" for the new key

  Scenario: A snapshot remembers teams that were removed
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the team is removed
    And a new leader takes over
    And the team is renamed
    Then job "a" is "active"

  # Guards against review/11, LOST and ROUTE: queues removed in one version come
  # back in two others with their names exchanged.
  Scenario Outline: Jobs keep their places when removed queues come back one by one
    When job "a" of 2 steps of 1 tasks is submitted
    And job "b" is submitted at "/free/"
    And <change>
    And all queues are removed
    And <change>
    And the first queue is back as "<first>"
    And <change>
    And both queues are back as "<first>" and "<second>"
    Then job "a" is found at "/o/" only
    And job "b" is found at "/free/" only

    Examples:
      | first  | second | change                         |
      | free   | orders | the simulation runs for 300 ms |
      | free   | orders | a new leader leads             |
      | orders | free   | a new leader leads             |
      | free   | free   | a new leader leads             |
      | other  | orders | a new leader leads             |

  # Guards against seed 80972: one team read and cancelled the jobs of another.
  Scenario Outline: Teams keep their jobs when removed teams come back one by one
    When job "a" of 2 steps of 1 tasks is submitted with key "key-coach"
    And job "b" of 2 steps of 1 tasks is submitted with key "key-school"
    And <change>
    And all teams are removed
    And <change>
    And the team of "key-coach" is back as "<first>"
    And <change>
    And the teams are back as "<first>" and "<second>"
    Then job "a" is found with "key-coach" only
    And job "b" is found with "key-school" only

    Examples:
      | first  | second | change                         |
      | school | coach  | the simulation runs for 300 ms |
      | school | coach  | a new leader leads             |
      | coach  | school | a new leader leads             |
      | coach  | coach  | a new leader leads             |
      | other  | coach  | a new leader leads             |

  # The name of a removed queue says nothing about one at a new place.
  Scenario: A new queue with the name of a removed one has none of its jobs
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And all queues are removed
    And a queue "orders" is added at "/new/"
    Then job "a" is unknown at "/new/"
    When a queue "later" is added at "/o/"
    Then job "a" is found at "/o/" only

  Scenario: A job is found where it was submitted and where its queue has moved
    When job "a" of 2 steps of 1 tasks is submitted
    And the simulation runs for 300 ms
    And the queue "orders" moves to "/new/"
    Then job "a" is found at "/new/" only
    When a new leader leads
    And a queue "later" is added at "/o/"
    Then job "a" is found at "/o/,/new/" only
    When job "a" is cancelled
    Then the call is acknowledged

  Scenario: A team with other keys is not the removed team of that name
    When job "a" of 2 steps of 1 tasks is submitted with key "key-coach"
    And the simulation runs for 300 ms
    And all teams are removed
    And a team "coach" is added with keys "key-new"
    Then job "a" is found with "none" only
    When a team "later" is added with keys "key-coach"
    Then job "a" is found with "key-coach" only

  Scenario: A job stays with its team when the key it came with goes to another
    Given a team "buses" with keys "key-buses,key-spare"
    When job "a" of 2 steps of 1 tasks is submitted with key "key-spare"
    And the simulation runs for 300 ms
    And the key "key-spare" goes to the team "school"
    Then job "a" is found with "key-spare,key-buses" only

  Scenario: A key of a removed team that another team gets does not carry its jobs
    When job "a" of 2 steps of 1 tasks is submitted with key "key-coach"
    And the simulation runs for 300 ms
    And the team is removed
    And the key "key-coach" goes to the team "school"
    Then job "a" is found with "key-coach" only
    When a new leader leads
    And the teams are back as "later" and "school"
    Then job "a" is found with "key-coach" only

  Scenario: Two queues that share a name keep their own jobs
    When both queues are back as "same" and "same"
    And job "a" of 2 steps of 1 tasks is submitted
    And job "b" is submitted at "/free/"
    And the simulation runs for 300 ms
    Then job "a" is found at "/o/" only
    And job "b" is found at "/free/" only

  # Former queues and teams were kept for good, 300 MB after 470 changes.
  Scenario: Queues and teams without jobs are forgotten once they are removed
    When job "a" of 2 steps of 1 tasks is submitted
    And the configuration changes 50 times, with other queues and teams each time
    And a new leader leads
    Then 1 former queue and 1 former team are kept

  Scenario: Tasks of a removed queue still get the advisor's approval
    Given an advisor that allows half of the workers
    When job "a" of 1 step of 1 task is submitted
    And all queues are removed
    And the simulation runs for 3000 ms
    Then 1 run has started

  Scenario: Two teams that share a key are refused, also under one name
    When two teams "same" share a key
    Then the configuration is refused
