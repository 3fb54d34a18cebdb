Feature: One time line over all processes

  Scenario: Events are merged by their stamps and filtered by a value
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
    When the time line is filtered by "r1"
    Then its events are "granted, released, answered"
    And one line is reported as no event
    And the page is self-contained and names both processes

  Scenario: A resource's name finds the events that name its kind too
    Given log lines of "control-0"
      """
      at=100.00000 event=decision process=control-0 subject=instance/orders-1
      at=100.00001 event=decision process=control-0 subject=instance/orders-11
      """
    When the time line is filtered by "orders-1"
    Then its events are "decision"

  Scenario: Lines that the logs write are read back without loss
    Then any field values survive a log line
