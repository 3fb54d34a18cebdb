Feature: Followers apply every change once, in order, and never mix snapshots

  Scenario: A new subscription does not skip a change queued in the mailbox
    Given a replica whose stream task has not yet handled its last change
    When an entry subscribes
    Then the entry has the replica's state once the stream task has caught up

  Scenario: Parts of an interrupted snapshot are not mixed with the next one
    Given an entry that has received the first part of a snapshot
    When it subscribes anew and the remaining old parts arrive before the new ones
    Then it holds exactly the state of the new snapshot

  Scenario: A resource deleted before a replica's snapshot does not stay at entries
    Given a replica at version 1 that installs a snapshot of version 3
    When an entry with version 2 from another replica subscribes to it
    Then the entry has the replica's state once the stream task has caught up

  Scenario: A state that a replica has loaded from its disk is sent completely
    Given a replica that has loaded version 1 from its disk and applies version 2
    When an entry subscribes
    Then the entry has the replica's state once the stream task has caught up

  Scenario: A change of leader alone does not renew the subscription
    Given an entry that follows control-1 and has applied version 5
    When control-2 leads and reports version 5 as committed
    Then the entry sends no new subscription

  Scenario: An entry whose stream falls behind subscribes to the leader
    Given an entry that follows control-1 and has applied version 5
    When control-2 leads and reports version 9 as committed for 1000 ms
    Then the entry subscribes to control-2 from version 5

  Scenario: Under random faults every view equals the state of its version
    Then every view is exact in any run of commits, lost links and delays

  Scenario: Control reports which followers have not applied the committed version
    Given followers entry-0, entry-1 and entry-2, of which entry-2 never reports
    When versions 1 to 3 are committed and only entry-0 reports version 3
    Then entry-1 and entry-2 are reported as behind and entry-0 is not
