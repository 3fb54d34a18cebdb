Feature: Dispatch guarantees hold under random faults

  Simulated backend servers count what really runs, independently of the
  dispatchers. Every run is seeded; the seed determines the network, the
  processes and the load.

  Scenario Outline: Nothing runs twice or beyond slots and limits under <faults>
    When dispatchers run 40 s of load under "<faults>" for seeds <seeds>
    Then no request and no key ran twice
    And no backend server ran more than its slots
    And no team ran more than its limit across the fleet
    And every slot and every charge was returned after the faults

    Examples:
      | faults                                   | seeds |
      | none                                     | 1-2   |
      | kill                                     | 1-5   |
      | stop                                     | 1-4   |
      | freeze                                   | 1-5   |
      | isolate                                  | 1-5   |
      | cut-control                              | 1-3   |
      | change-leader                            | 1-3   |
      | kill,stop,isolate,freeze                 | 1-9   |
      | cut-backend,cut-entries,restart-backend  | 1-3   |
      | all                                      | 1-6   |

  Scenario: Requests are answered again after the faults
    When dispatchers run 40 s of load under "all" for seeds 7-9
    Then every request sent once the faults are over is answered

  Scenario: The loss of one holder blocks no request with an Idempotency-Key
    When dispatchers run 5 s of load under "none" for seeds 1-4
    And the holder of "orders" dies and 4 s pass
    Then requests with new keys are answered
    And requests with keys answered before are reported as duplicates
