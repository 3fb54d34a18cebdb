Feature: Odd input of another writer ends nothing and pushes nothing out

  Scenario Outline: A heartbeat that names no worker to use is refused with a reason
    When a heartbeat whose "<field>" is <value> is decoded
    Then the heartbeat is refused because of "<reason>"

    Examples:
      | field        | value                             | reason        |
      | extra        | nested 100000 deep                | too deeply    |
      | labels       | nested 100000 deep                | Expected      |
      | born         | 1180591620717411303424            | born          |
      | born         | -1                                | born          |
      | born         | 4.5                               | born          |
      | born         | null                              | born          |
      | seq_no       | 1180591620717411303424            | seq_no        |
      | seq_no       | -1                                | seq_no        |
      | address      | "10.0.0.1:99999"                  | address       |
      | address      | "10.0.0.1:65536"                  | address       |
      | address      | "10.0.0.1:0"                      | address       |
      | address      | "10.0.0.1:-1"                     | address       |
      | address      | "10.0.0.1:"                       | address       |
      | address      | ":80"                             | address       |
      | address      | "10.0.0.1:٨٠"                     | address       |
      | address      | "10.0.0.1:80\n"                   | address       |
      | state        | "up"                              | state         |
      | service      | ""                                | service       |
      | remaining_ms | 1e308                             | remaining_ms  |
      | remaining_ms | NaN                               | malformed     |
      | remaining_ms | Infinity                          | malformed     |
      | capacity     | {"cpu":1,"mem_mb":1,"gpu":-1}     | capacity      |
      | capacity     | {"cpu":9223372036854775808,"mem_mb":1} | capacity |
      | labels       | ["\ud800"]                        | surrogate pair|
      | running      | [["x.0.0.0",1,"",1e308,0]]        | running       |
      | running      | [["x.0.0.0",1,"",0,1e308]]        | running       |
      | running      | [["x.0.0.0",1180591620717411303424,"",0]] | running    |
      | running      | [["x.1_0.0.5",1,"",0]]                 | no task's name |
      | running      | [["x.٣.0.5",1,"",0]]                   | no task's name |
      | running      | [["x.-1.0.5",1,"",0]]                  | no task's name |
      | running      | [["x.1.0",1,"",0]]                     | no task's name |
      | running      | [["x.9999999999.0.0",1,"",0]]          | no task's name |
      | finished     | [[-1,"x.0.0.0",1,"done",""]]         | finished      |

  Scenario Outline: A heartbeat without one of its fields names no worker
    When a heartbeat without "<field>" is decoded
    Then the heartbeat is refused because of "<reason>"

    Examples:
      | field           | reason       |
      | service         | service      |
      | address         | address      |
      | zone            | zone         |
      | version         | version      |
      | slots           | slots        |
      | state           | state        |
      | cold_left_ms    | cold_left_ms |
      | clock_ms        | clock_ms     |
      | seq_no          | seq_no       |
      | born            | born         |
      | capacity        | capacity     |
      | capacity.cpu    | cpu          |
      | capacity.mem_mb | mem_mb       |
      | capacity.gpu    | gpu          |
      | labels          | labels       |
      | running         | running      |
      | finished        | finished     |

  Scenario Outline: A heartbeat with a field of another type names no worker
    When a heartbeat whose "<field>" is <value> is decoded
    Then the heartbeat is refused because of "<field>"

    Examples:
      | field        | value                        |
      | version      | 1                            |
      | version      | null                         |
      | version      | ""                           |
      | slots        | "8"                          |
      | slots        | 1.5                          |
      | slots        | -1                           |
      | cold_left_ms | "0"                          |
      | cold_left_ms | null                         |
      | cold_left_ms | -1                           |
      | clock_ms     | null                         |
      | clock_ms     | "482113"                     |
      | zone         | ""                           |
      | zone         | 3                            |
      | labels       | null                         |
      | running      | null                         |
      | running      | [["x.0.0.0",1,""]]           |
      | running      | [["x.0.0.0",1,"",null]]      |
      | finished     | null                         |
      | finished     | [[1,"x.0.0.0",1,"done"]]     |
      | remaining_ms | null                         |
      | remaining_ms | -1                           |

  Scenario: A heartbeat with all its fields is accepted
    When a heartbeat with all its fields is decoded
    Then the heartbeat is accepted

  Scenario: Bytes that are not UTF-8, and long lists and names, are refused
    Then a heartbeat whose labels are not UTF-8 is refused
    And a heartbeat of 200000 labels is refused
    And a heartbeat of a worker whose id has 16000 letters is refused
    And a reason has at most 200 letters

  Scenario Outline: Ports from 1 to 65535 name a worker, at any host
    When a heartbeat whose "address" is "<address>" is decoded
    Then the heartbeat is accepted

    Examples:
      | address          |
      | 10.0.0.1:1       |
      | 10.0.0.1:65535   |
      | [fd00::1]:8080   |
      | worker.site:8080 |

  Scenario: What cannot be read says nothing of a worker's shutdown
    Then a shutdown with the body '{}' is refused
    And a shutdown with the body '{"born":' is refused
    And a shutdown with the body '{"born":1180591620717411303424}' is refused
    And a shutdown nested 100000 deep is refused

  Scenario: A shutdown without a body is that of the present life
    # Workers send none; requiring one refused the shutdown of each.
    Then a shutdown without a body is taken with start 0

  Scenario Outline: Odd requests of operators and callers are refused with a reason
    Then a <kind> whose "<field>" is <value> is refused

    Examples:
      | kind          | field             | value                  |
      | configuration | extra             | nested 100000 deep     |
      | configuration | version           | 1180591620717411303424 |
      | configuration | target_latency_ms | 1e308                  |
      | configuration | slack_factor      | 1e308                  |
      | configuration | weight            | 1e308                  |
      | configuration | weight            | NaN                    |
      | configuration | priority          | 1180591620717411303424 |
      | configuration | timeout_ms        | 1180591620717411303424 |
      | configuration | max_attempts      | 1180591620717411303424 |
      | configuration | validity_ms       | 1e308                  |
      | wave          | extra             | nested 100000 deep     |
      | wave          | rollout_wave      | 1180591620717411303424 |
      | wave          | duration_s        | 1e308                  |
      | wave          | duration_s        | -1                     |
      | wave          | cap               | 1180591620717411303424 |
      | job           | extra             | nested 100000 deep     |
      | job           | estimate_ms       | 1e308                  |
      | job           | target_ms         | NaN                    |
      | job           | cpu               | 1180591620717411303424 |

  Scenario: Nodes answer odd input with a refusal, and go on
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    And every sound worker is used for a new job
    When each odd request is sent to the leader and to two other nodes
    Then each was refused with a status from 400 to 499
    And no node has ended, and no task or request has failed in one
    And the leader has not changed
    And every sound worker is used for a new job
