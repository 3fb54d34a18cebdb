Feature: One timeline of the events of all processes

  Scenario: Events are merged by their timestamps and filtered by a value
    Given log lines of "entry-0"
      """
      at=100.00000 event=granted process=entry-0 request=r1 team=coach
      at=105.00001 event=answered process=entry-0 request=r1 status=200
      """
    And log lines of "entry-1"
      """
      at=100.00001 event=granted process=entry-1 request=r2 detail="two words \"quoted\""
      at=105.00000 event=released process=entry-1 request=r1
      not an event
      """
    When the timeline is filtered by "r1"
    Then its events are "granted, released, answered"
    And one line is reported as not an event
    And the page is self-contained and names both processes

  Scenario: A resource's name also matches fields that prefix it with the kind
    Given log lines of "control-0"
      """
      at=100.00000 event=decision process=control-0 subject=instance/orders-1
      at=100.00001 event=decision process=control-0 subject=instance/orders-11
      """
    When the timeline is filtered by "orders-1"
    Then its events are "decision"

  Scenario: Lines that the logs write are read back without loss
    Then any field values are read back unchanged from a log line

  Scenario: A low-margin span continues over a change of leader
    Given log lines of "node-0"
      """
      at=10000.00000 event=role process=node-0 term=1 is_leader=true
      at=10100.00000 event=loss_margin process=node-0 term=1 margin=1 promised=1 voters=3 silent=none catching_up=0 below_ms=0 held_ms=0
      at=12000.00000 event=loss_margin process=node-0 term=1 margin=0 promised=1 voters=3 silent=node-2/a catching_up=0 below_ms=0 held_ms=0
      at=15500.00000 event=loss_margin process=node-0 term=1 margin=1 promised=1 voters=3 silent=none catching_up=0 below_ms=2000 held_ms=1500
      """
    And log lines of "node-1"
      """
      at=13000.00000 event=role process=node-1 term=2 is_leader=true
      at=13900.00000 event=loss_margin process=node-1 term=2 margin=0 promised=1 voters=3 silent=node-0/b catching_up=1 below_ms=0 held_ms=0
      at=21000.00000 event=loss_margin process=node-1 term=2 margin=1 promised=1 voters=3 silent=none catching_up=0 below_ms=5600 held_ms=1500
      at=25000.00000 event=loss_margin process=node-1 term=2 margin=0 promised=1 voters=3 silent=node-2/a catching_up=0 below_ms=0 held_ms=0
      at=26000.00000 event=leader_known process=node-1 leader=none term=2
      """
    When the timeline is drawn
    Then the printed timeline ends with these sentences
      """
      from 2.000s for 7.500s the voters bore 0 of 1 promised losses at the least; silent: node-2/a, node-0/b
      from 15.000s on the voters bore 0 of 1 promised losses at the least; silent: node-2/a
      """
    And the drawing has 2 bands

  Scenario: A low-margin span is shown although its events are filtered out
    Given log lines of "node-0"
      """
      at=1000.00000 event=loss_margin process=node-0 term=1 margin=1 promised=2 voters=5 silent=node-2/a catching_up=0 below_ms=0 held_ms=0
      at=2000.00000 event=job_admitted process=node-0 job=aa
      at=3000.00000 event=job_ended process=node-0 job=aa
      at=5500.00000 event=loss_margin process=node-0 term=1 margin=2 promised=2 voters=5 silent=none catching_up=0 below_ms=3000 held_ms=1500
      at=8000.00000 event=loss_margin process=node-0 term=1 margin=1 promised=2 voters=5 silent=node-3/a catching_up=0 below_ms=0 held_ms=0
      """
    When the timeline of job "aa" is printed by the command
    Then the command's last line is "from -1.000s for 3.000s the voters bore 1 of 2 promised losses at the least; silent: node-2/a"
