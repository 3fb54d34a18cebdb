Feature: The adapter translates requests, and does nothing else

  Scenario: Each field of a step is decoded into the field with its meaning
    When this job is decoded
      """
      {"spec":"(text)","phases":[
        {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},
        {"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000,
         "depends_on":[0],"checkpointing":true,"anti_affinity":2,
         "requirements":"a","miss_allowed":1,"long_running":true}]}
      """
    Then step 0 has 4 tasks of 500 milli and its data on "r1-3"
    And step 1 waits for step 0 and allows 2 tasks an instance

  Scenario Outline: An invalid job is refused with a reason
    When the job <body> is decoded
    Then it is refused because of "<reason>"

    Examples:
      | body                                                | reason        |
      | {"spec":"x"                                         | truncated     |
      | {"spec":"x","phases":[]}                            | at least one  |
      | {"spec":"x","phases":[{"count":"3"}]}               | Expected      |
      | {"spec":"x","phases":[{"count":0}]}                 | Expected      |
      | {"spec":"x","phases":[{"count":1,"cpu":-1}]}        | Expected      |
      | {"spec":"x","phases":[{"count":1,"depends_on":[0]}]} | not an earlier |
      | {"spec":"x","phases":[{"count":10000}],"repeat_count":10000} | 100000000 tasks |
      | {"spec":"x","phases":[{"count":1}],"start_at_ms":1e16} | start_at_ms |

  Scenario: A job on a timetable of today is taken
    # Each was refused, since the first due time had the range of an amount.
    When the job {"spec":"x","phases":[{"count":2}],"repeat_count":3,"start_at_ms":1796444734000,"interval_ms":500} is decoded
    Then occurrence 2 is due at 1796444735000 ms

  Scenario: A job of the largest size is taken
    When the job {"spec":"x","phases":[{"count":10}],"repeat_count":10000} is decoded
    Then occurrence 9999 is due at 0 ms

  Scenario: Any input is either decoded or refused with a reason
    Then any JSON in a heartbeat gives a report or a reason
    And any JSON in a job gives a job or a reason
    And any JSON in a configuration gives a document or a reason
    And any JSON in a wave gives a wave or a reason
    And any bytes give a reason

  Scenario: A run's row may omit its last values
    When a heartbeat with these lists is decoded
      | running                                      | finished                          |
      | ["00000000000000aa.0.1.17",2,"saved",41]     | [58,"00000000000000aa.0.1.9",1,"done",""] |
    Then run 2 of task 17 is listed with 41 percent
    And end 58 of task 9 is listed as "done"

  Scenario: Nothing outside the adapter knows the platform's names
    Then no module outside "platform" holds the platform's field names
    And the adapter is below 1200 lines and a twelfth of the product

  Scenario Outline: A node with a bad settings file does not start
    When a node is started with the settings <settings>
    Then it ends with status 2 and names "<fault>"

    Examples:
      | settings                 | fault                     |
      | {"node_name":"n"}        | missing required field    |
      | {"node_name":4}          | $.node_name               |
      | not JSON                 | JSON is malformed         |
      | nested 100000 deep       | missing required field    |

  Scenario: Bounds may hold fractions
    When the settings with these bounds are converted
      | bound       | value  |
      | hold_max_ms | 2500.5 |
      | lease_ms    | 2999.5 |
    Then a run's lease is 2500 ms
    And a new leader waits 3300 ms for an earlier leader's orders

  Scenario: Each bound sets the times that depend on it
    When the settings with these bounds are converted
      | bound         | value |
      | lease_ms      | 6000  |
      | notice_ms     | 2250  |
      | impact_ms     | 2000  |
      | restore_ms    | 1200  |
      | maintenance_s | 4     |
    Then the scheduler has these times
      | time                     | ms    |
      | order_settled_ms         | 12000 |
      | available_max_silence_ms | 1050  |
      | stop_fillers_after_ms    | 1000  |
      | stall_ms                 | 1500  |
      | wave_round_ms            | 6000  |

  # A factor that is lost on the way would let no task wait for its rack.
  Scenario Outline: The factor for remote racks is taken from the bounds
    When the settings with these bounds are converted
      | bound   | value   |
      | <bound> | <value> |
    Then tasks take <factor> times as long in a remote rack

    Examples:
      | bound         | value | factor |
      | remote_factor | 1.5   | 1.5    |
      | remote_factor | 3     | 3      |
      | remote_factor | 0     | 1      |
      | lease_ms      | 3000  | 1      |

  Scenario: Callers are told why a job has failed
    Then a caller is told that a job is "failed" with the reason "task 0.0.0 failed 3 times"
    And a caller is told that a job is "completed" without a reason

  Scenario: The known data centres are those of the settings
    When the settings with these bounds are converted
      | bound    | value |
      | lease_ms | 3000  |
    Then "north,south" can be evacuated

  Scenario: A heartbeat tells for how long the worker may be slow
    When a heartbeat that says 1500.5 ms of "cold_left_ms" is decoded
    Then the worker may be slow for 1500 ms
