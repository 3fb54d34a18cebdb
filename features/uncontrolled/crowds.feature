Feature: A node outlasts clients that nobody controls

  # The crowds send for 8 s to the leader, which then answers ordinary requests on
  # every port while the crowd's connections stay open.

  Scenario Outline: A node outlasts bodies, heads and answers
    Given three nodes on machines of 150 MB and 800 descriptors
    When 150 "<kind>" clients use the port for "<port>"
    Then the node lives, and has used no more than its limits
    And it answers ordinary requests while the crowd stays connected

    Examples:
      | kind       | port    |
      | announced  | callers |
      | unfinished | callers |
      | chunked    | callers |
      | huge       | callers |
      | slow       | callers |
      | heads      | callers |
      | unread     | callers |
      | announced  | control |
      | unfinished | control |
      | chunked    | control |
      | huge       | control |
      | slow       | control |
      | heads      | control |
      | huge       | ready   |
      | heads      | ready   |
      | chunked    | metrics |
      | unread     | metrics |
      | announced  | peers   |
      | slow       | peers   |

  Scenario: A node outlasts readers that never take a large configuration
    Given three nodes on machines of 150 MB and 800 descriptors
    And a configuration of 2000000 bytes
    When 150 "unread" clients use the port for "control"
    Then the node lives, and has used no more than its limits
    And it answers ordinary requests while the crowd stays connected

  Scenario Outline: A node outlasts more idle connections than it has descriptors
    Given three nodes on machines of 150 MB and 800 descriptors
    When 1000 "idle" clients use the port for "<port>"
    Then the node lives, and has used no more than its limits
    And it answers ordinary requests while the crowd stays connected

    Examples:
      | port    |
      | callers |
      | control |
      | ready   |
      | metrics |
      | peers   |

  Scenario Outline: A node takes the largest configuration while a crowd is there
    Given three nodes on machines of 200 MB and 800 descriptors
    When 150 "<kind>" clients use the port for "<port>"
    And a configuration of 4 MiB is handed in meanwhile
    Then the node lives, and has used no more than its limits
    And it answers ordinary requests while the crowd stays connected

    Examples:
      | kind       | port           |
      | unfinished | callers        |
      | unfinished | control        |
      | unfinished | configurations |
