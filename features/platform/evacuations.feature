Feature: Evacuations of data centres, on separate processes

  Scenario: Evacuations are ordered at any node and outlast lost disks and power
    Given a site of four nodes, three with a disk
    And a configuration with one queue
    When a "GET" for "/v1/evacuate" is sent to node 3 by an operator
    Then the site answers with status 200
    And the evacuations are in ""
    When the evacuation of "nowhere" is ordered at node 3 to "begin"
    Then the site answers with status 404
    When the evacuation of "north" is ordered at node 3 to "pause"
    Then the site answers with status 404
    When the evacuation of "south%20east" is ordered at node 0 to "begin"
    And the evacuation of "south%20east" is ordered at node 1 to "begin"
    Then the site answers with status 200
    When the evacuation of "north" is ordered at node 3 to "end"
    Then the site answers with status 200
    When the evacuation of "north" is ordered at node 3 to "begin"
    And all nodes lose power right after it, and the leading one its disk
    Then the evacuations are eventually in "north,south east"
    When the evacuation of "north" is ordered again until it is answered to "end"
    And all nodes are killed at once and start again
    Then the evacuations are eventually in "south east"
    When the evacuation of "south%20east" is ordered again until it is answered to "end"
    And 2 jobs of 2 steps are submitted to all nodes
    Then every job is eventually completed
