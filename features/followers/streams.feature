Feature: Followers apply every change once, upwards only, and never a mixture

  Scenario: A change that waits in the mailbox is not skipped by a subscription
    Given a replica whose streams have not yet been told of its last change
    When an entry subscribes
    Then the entry holds that change once the streams have been told

  Scenario: Parts of an interrupted snapshot are not mixed with the next one
    Given an entry that has received the first part of a snapshot
    When it subscribes anew and the remaining old parts arrive before the new ones
    Then it holds exactly the state of the new snapshot

  Scenario: What came and went before a replica's snapshot does not stay at entries
    Given a replica that jumps from version 1 to 3 by a snapshot
    When an entry that has version 2 from elsewhere subscribes to it
    Then the entry holds that change once the streams have been told

  Scenario: What a replica has loaded from its disk is sent whole
    Given a replica that has loaded version 1 from its disk and applies version 2
    When an entry subscribes
    Then the entry holds that change once the streams have been told

  Scenario: A change of leader alone keeps the stream
    Given an entry that follows control-1 and has applied version 5
    When control-2 leads and tells that it has committed version 5
    Then the entry sends no new subscription

  Scenario: A stream that has gone silent is renewed with the leader
    Given an entry that follows control-1 and has applied version 5
    When control-2 leads and for 1000 ms tells that it has committed version 9
    Then the entry subscribes to control-2 from version 5

  Scenario: Under random faults every view equals the state of its version
    Then any run of commits, lost links and delays leaves each view exact

  Scenario: Control tells who has not applied what holds
    Given followers entry-0, entry-1 and entry-2 of which entry-2 was never heard
    When versions 1 to 3 are committed and only entry-0 reports version 3
    Then entry-1 and entry-2 are told as behind and entry-0 is not
