Feature: A bundle of changes is validated as a whole and applied atomically

  Background:
    Given a state with these resources
      | resource       | spec                                                     |
      | team/coach     | {"upper_limit": 5}                                       |
      | pool/labels    | {"wanted_size": 6}                                       |
      | operator/ann   | {"role": "admin"}                                        |
      | key/coach-1    | {"team": "coach", "salt_hex": "00", "hash_hex": "11"}    |
      | service/labels | {"pool": "labels"}                                       |

  Scenario Outline: A faulty change is refused with the path of the fault
    When an operator sends the changes
      | action   | resource   | spec   |
      | <action> | <resource> | <spec> |
    Then the outcome is "<code>" with a fault at "<place>"
    And nothing has changed

    Examples:
      | action | resource          | spec                                                                   | code      | place                              |
      | put    | key/other         | {"team": "nobody", "salt_hex": "0", "hash_hex": "0"}                   | invalid   | changes[0].spec.team               |
      | put    | key/other         | {"salt_hex": "0", "hash_hex": "0"}                                     | invalid   | changes[0].spec                    |
      | put    | key/coach-1       | {"team": "coach", "salt_hex": "00", "hash_hex": "22"}                  | invalid   | changes[0].spec.hash_hex           |
      | put    | service/orders    | {"pool": "nowhere"}                                                    | invalid   | changes[0].spec.pool               |
      | put    | job/j-1           | {"team": "nobody", "pool": "labels"}                                   | invalid   | changes[0].spec.team               |
      | put    | job/j-1           | {"team": "coach", "pool": "nowhere"}                                   | invalid   | changes[0].spec.pool               |
      | put    | wave/w-1          | {"pools": ["labels", "nowhere"]}                                       | invalid   | changes[0].spec.pools[1]           |
      | put    | instance/i-1      | {"pool": "nowhere", "data_centre": "a", "rack": "b"}                   | invalid   | changes[0].spec.pool               |
      | put    | team/-bad-        | {"upper_limit": 1}                                                     | invalid   | changes[0].name                    |
      | put    | team/coach        | {"upper_limit": -1}                                                    | invalid   | changes[0].spec.upper_limit        |
      | put    | team/coach        | {"upper_limit": 1, "upper_limits": 1}                                  | invalid   | changes[0].spec.upper_limits       |
      | put    | configuration/c   | {"values": {"": "x"}}                                                  | invalid   | changes[0].spec.values.            |
      | put    | dispatcher/labels | {"holder": "entry-0", "epoch": 9}                                      | invalid   | changes[0].kind                    |
      | status | service/labels    | {}                                                                     | invalid   | changes[0].status                  |
      | delete | team/coach        | {}                                                                     | invalid   | changes[0]                         |
      | delete | pool/labels       | {}                                                                     | invalid   | changes[0]                         |
      | delete | team/absent       | {}                                                                     | not-found | changes[0]                         |

  Scenario: Every fault of a bundle is reported at once
    When an operator sends the changes
      | action | resource     | spec                                | expected |
      | put    | team/good    | {"upper_limit": 1}                  | any      |
      | put    | team/coach   | {"upper_limit": -1}                 | any      |
      | put    | pool/labels  | {"wanted_size": 7}                  | 999      |
      | put    | service/x    | {"pool": "nowhere", "queue_bound": 0, "a": 1} | any |
      | delete | operator/bob | {}                                  | any      |
      | put    | service/y    | {"pool": "nowhere"}                 | any      |
    Then the outcome is "conflict" with faults at
      | place                         |
      | changes[1].spec.upper_limit   |
      | changes[2].expected_version   |
      | changes[3].spec.a             |
      | changes[3].spec.queue_bound   |
      | changes[4]                    |
      | changes[5].spec.pool          |
    And the conflict shows the current "pool/labels"
    And nothing has changed

  Scenario: A faulty change is reported once, not for each reference to it
    When an operator sends the changes
      | action | resource  | spec                                                  |
      | put    | team/new  | {"upper_limit": -1}                                   |
      | put    | key/new-1 | {"team": "new", "salt_hex": "00", "hash_hex": "11"}   |
    Then the outcome is "invalid" with a fault at "changes[0].spec.upper_limit"

  Scenario: Changes within a bundle may come in any order
    When an operator sends the changes
      | action | resource       | spec                                                  |
      | put    | service/orders | {"pool": "orders"}                                    |
      | put    | pool/orders    | {"wanted_size": 6}                                    |
      | delete | team/coach     | {}                                                    |
      | delete | key/coach-1    | {}                                                    |
    Then the outcome is "applied"
    And "service/orders" exists and "team/coach" does not

  Scenario: A status names the version of the spec that it describes
    When the system writes a status of "team/coach"
    Then that status names the version of the current spec

  Scenario: A withdrawn key stays withdrawn
    When an operator sends the changes
      | action | resource    | spec                                                                      |
      | put    | key/coach-1 | {"team": "coach", "salt_hex": "00", "hash_hex": "11", "withdrawn": true}  |
    Then the outcome is "applied"
    When an operator sends the changes
      | action | resource    | spec                                                                      |
      | put    | key/coach-1 | {"team": "coach", "salt_hex": "00", "hash_hex": "11", "withdrawn": false} |
    Then the outcome is "invalid" with a fault at "changes[0].spec.withdrawn"

  Scenario: Outcomes are kept up to a limit, the oldest evicted first
    When 10002 commands with distinct ids are applied
    Then the outcomes of the last 10000 are kept
    And a state restored from plain mappings keeps the same order
    And a state restored from a snapshot's bytes is equal and evicts the same outcomes

  Scenario: Random commands lead all replicas to the same state
    Then two replicas that apply random bundles agree in any order of their maps
