Feature: Odd answers and settings stop nothing

  Scenario Outline: Odd entries of the provider's list leave the others
    When the provider lists "m1", an entry <odd> and "m2"
    Then the list holds "m1,m2"
    And a log line of at most 400 letters says that an entry cannot be read

    Examples:
      | odd                                                         |
      | nested 100000 deep                                          |
      | {"machine":"odd","pool":"pack","state":"up","extra":[[1]],"id":5} |
      | {"machine":"odd","pool":"pack","state":"gone"}              |
      | {"machine":1180591620717411303424,"pool":"pack","state":"up"} |
      | {"machine":"","pool":"pack","state":"up"}                   |
      | {"machine":"odd"}                                           |
      | null                                                        |
      | "odd"                                                       |
      | 1180591620717411303424                                      |

  Scenario Outline: Just the entries that are nested too deeply are blanked
    Then the document <document> becomes <blanked>

    Examples:
      | document                                         | blanked                           |
      | {"m":[{"a":1},{"z":nested 100000 deep},{"b":1}]} | {"m":[{"a":1},null,{"b":1}]}      |
      | {"m":[nested 100000 deep,5]}                     | {"m":[null,5]}                    |
      | {"m":nested 100000 deep}                         | {"m":[null]}                      |
      | {"m":[{"a":"]}["}],"n":[nested 100000 deep]}     | {"m":[{"a":"]}["}],"n":[null]}    |

  Scenario: Other documents are left as they are, and none takes long to search
    Then any shallow document is left as it is
    And a document of 400000 escaped quotes without an end is left as it is

  Scenario Outline: An odd document of a service is no answer
    When a service answers <odd>
    Then the provider gives no list, and the advisor no advice
    And an order that is refused with <odd> is "busy"

    Examples:
      | odd                                                    |
      | {"approved":[],"reason":"x","extra":nested 100000 deep} |
      | {"machines":5,"approved":5,"reason":5}                 |
      | [[                                                     |

  Scenario: The token of the next page cannot break the request line
    When the provider's first page names the next one "a b\r\nX: y ü"
    Then the provider is asked for "/v1/machines?page_token=a%20b%0D%0AX:%20y%20%C3%BC"

  Scenario: An answer that never ends is given up
    When a service sends a byte of its answer every 50 ms for ever
    Then a call that waits 100 ms for each part ends without an answer

  Scenario: A call to a service that fails has a result
    # Without one, the leader asked nothing more in its whole term.
    When the clients of the provider and the advisor raise a "RecursionError"
    Then the question has no answer, the list is missing and the order is unknown

  Scenario: Odd answers of the advisor delay the steps that it allows, and no more
    Given a site of four nodes with an advisor that allows only "9000,9002"
    And the advisor's first 3 answers are nested 100000 deep
    And a configuration with one queue
    When 2 jobs of 2 steps are submitted to all nodes
    Then every job is eventually completed
    And no node has ended, and no task or request has failed in one

  Scenario Outline: Odd settings are left out, with or without a signal
    Given a site of four nodes, three with a disk
    When the settings of node 1 become <odd>
    And node 1 gets a hang-up signal
    Then node 1 logs that its settings are unreadable
    When the settings of node 1 name another seed beside odd ones
    Then node 1 follows the other seed
    And no node has ended, and no task or request has failed in one

    Examples:
      | odd                                       |
      | {"bounds":nested 100000 deep}             |
      | {"port_range":[]}                         |
      | {"port_range":[99999]}                    |
      | {"bounds":{"status_s":1e308}}             |
