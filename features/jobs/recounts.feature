Feature: The indexes of the job book equal recounts

  Scenario Outline: Indexes equal recounts after commands of all kinds
    When simulations of commands of all kinds with seeds <first> to <last> are run for <ms> ms
    Then no index has differed from a recount, also after a restored snapshot
    And plans that search for each task again have decided the same
    And each of these commands was committed: AdmitJob, AssignRuns, EndRuns, LoseRuns, CancelJob, DropJobs, WorkerCrashed, WorkerReturned, WorkerEnded, ClearTasks, GiveUpJob

    Examples:
      | first | last | ms    |
      | 0     | 4    | 30000 |

  Scenario: A search for a worker is left out only if it would find none
    When random tasks are placed in 500 plans
    Then at least 1000 searches were left out, none of them wrongly
