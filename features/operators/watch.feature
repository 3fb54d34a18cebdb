Feature: Watches resume from a version without a gap

  Background:
    Given a control process with the bootstrap key "first.key"

  Scenario: A watch is resumed after its connection was closed
    When "PUT /v1/team/a" is sent with {"upper_limit": 1}
    And a watch is opened from version 0 and reads 1 change
    And "PUT /v1/team/b" is sent with {"upper_limit": 2}
    And the watch is closed
    And "PUT /v1/team/c" is sent with {"upper_limit": 3}
    And "DELETE /v1/team/a" is sent
    And a watch is opened from its last version and reads 3 changes
    Then the watches have returned team/a, team/b, team/c, deleted team/a in order

  Scenario: A watch from a version that is no longer kept is refused with the advice to list first
    Given 5003 changes have been made
    When "GET /v1/watch?from=1" is sent
    Then the status is 410
    And the answer's "detail" contains "list first"

  Scenario Outline: A malformed watch is refused
    When "GET /v1/watch?<query>" is sent
    Then the status is 400

    Examples:
      | query           |
      | from=           |
      | from=-1         |
      | from=1&kind=hue |

  Scenario: A watch shows only the requested kind and no hashes
    When "PUT /v1/team/a" is sent with {"upper_limit": 1}
    And "POST /v1/key/a-1" is sent with {"team": "a"}
    And a watch of kind key is opened from version 0 and reads 1 change
    Then the watches have returned key/a-1 in order
    And no watch has returned a hash
