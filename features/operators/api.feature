Feature: Operators change and read resources under their own keys

  Background:
    Given a control process with the bootstrap key "first.key"

  Scenario: Compare-and-set lets one of two operators succeed and shows the current resource to the other
    When "PUT /v1/team/coach" is sent with {"upper_limit": 5}
    Then the status is 200
    When "PUT /v1/team/coach" is sent with {"upper_limit": 7} and If-Match 1
    Then the status is 200
    When "PUT /v1/team/coach" is sent with {"upper_limit": 9} and If-Match 1
    Then the status is 409
    And the answer's "current.spec.upper_limit" is 7
    And the answer's "outcome" is "not-run"
    And the answer's "faults.0.place" is "expected_version"

  Scenario: A resend after a lost answer and a restart gets the first outcome
    Given the replica loses its answers
    When "PUT /v1/team/coach" is sent with {"upper_limit": 5} as command "a-1"
    Then the status is 503
    And the answer's "outcome" is "unknown"
    Given the replica restarts and answers
    When "PUT /v1/team/coach" is sent with {"upper_limit": 8}
    And "PUT /v1/team/coach" is sent with {"upper_limit": 5} as command "a-1"
    Then the status is 200
    And the answer's "version" is 1
    When "GET /v1/team/coach" is sent
    Then the answer's "spec.upper_limit" is 8

  Scenario: A key's secret is shown only once, even if the command is repeated
    When "PUT /v1/team/coach" is sent with {"upper_limit": 5}
    And "POST /v1/key/coach-1" is sent with {"team": "coach"} as command "k-1"
    Then the status is 200
    And the answer shows a secret
    When "POST /v1/key/coach-1" is sent with {"team": "coach"} as command "k-1"
    Then the status is 200
    And the answer's "secret" is null
    And the answer's "detail" contains "cannot be shown again"
    When "GET /v1/key/coach-1" is sent
    Then the answer's "spec" has the members team, operator, withdrawn
    When "POST /v1/key/coach-1" is sent with {"team": "coach"} as command "k-2"
    Then the status is 409

  Scenario: A withdrawn key stays withdrawn
    When "PUT /v1/team/coach" is sent with {"upper_limit": 5}
    And "POST /v1/key/coach-1" is sent with {"team": "coach"}
    And "PUT /v1/key/coach-1" is sent with {"withdrawn": true}
    Then the status is 200
    When "PUT /v1/key/coach-1" is sent with {"withdrawn": false}
    Then the status is 422
    And the answer's "faults.0.place" is "spec.withdrawn"

  Scenario: The bootstrap key works only until an admin has a key
    When "PUT /v1/operator/ann" is sent with {"role": "admin"}
    Then the status is 200
    When a key "ann-1" is created for operator "ann"
    And "GET /v1/team" is sent
    Then the status is 401
    When "GET /v1/team" is sent with the key "ann-1"
    Then the status is 200

  Scenario Outline: An operator's role determines which requests are permitted
    Given operators ann, ed and vic with the roles admin, editor and viewer
    And a team coach with the key "coach-1"
    When "<request>" is sent with {"<field>": <value>} with the key "<key>"
    Then the status is <status>

    Examples:
      | key     | request               | field       | value    | status |
      | vic-1   | GET /v1/team/coach    | x           | 0        | 200    |
      | vic-1   | GET /v1/status        | x           | 0        | 200    |
      | vic-1   | PUT /v1/team/coach    | upper_limit | 1        | 403    |
      | vic-1   | DELETE /v1/team/coach | x           | 0        | 403    |
      | vic-1   | POST /v1/key/mine     | operator    | "vic"    | 403    |
      | ed-1    | PUT /v1/team/coach    | upper_limit | 1        | 200    |
      | ed-1    | POST /v1/key/coach-2  | team        | "coach"  | 200    |
      | ed-1    | POST /v1/key/mine     | operator    | "ed"     | 403    |
      | ed-1    | PUT /v1/operator/ed   | role        | "admin"  | 403    |
      | ed-1    | PUT /v1/key/ann-1     | withdrawn   | true     | 403    |
      | ed-1    | DELETE /v1/key/ann-1  | x           | 0        | 403    |
      | ann-1   | PUT /v1/operator/ed   | role        | "admin"  | 200    |
      | coach-1 | GET /v1/team/coach    | x           | 0        | 401    |
      | coach-1 | PUT /v1/team/coach    | upper_limit | 99       | 401    |

  Scenario: A withdrawn key of an operator is not accepted
    Given operators ann, ed and vic with the roles admin, editor and viewer
    When "PUT /v1/key/ed-1" is sent with {"withdrawn": true} with the key "ann-1"
    And "PUT /v1/team/coach" is sent with {"upper_limit": 1} with the key "ed-1"
    Then the status is 401

  Scenario: A bundle is applied atomically, and a dry run changes nothing
    When "POST /v1/bundle?dry_run=1" is sent with
      """
      {"resources": [
        {"kind": "service", "name": "labels", "spec": {"pool": "labels"}},
        {"kind": "pool", "name": "labels", "spec": {"wanted_size": 6}}
      ]}
      """
    Then the status is 200
    And the answer's "dry_run" is true
    And nothing has been committed
    When "POST /v1/bundle" is sent with
      """
      {"resources": [
        {"kind": "pool", "name": "labels", "spec": {"wanted_size": 6}},
        {"kind": "service", "name": "labels", "spec": {"pool": "absent"}},
        {"kind": "team", "name": "coach", "spec": {"upper_limit": "many"}},
        {"kind": "team", "name": "absent", "delete": true}
      ]}
      """
    Then the status is 422
    And the answer has faults at resources[1].spec.pool, resources[2].spec.upper_limit, resources[3]
    When "GET /v1/pool" is sent
    Then the answer's "items" is []

  Scenario: Lists are filtered and paginated, and an unknown filter is refused
    When "PUT /v1/team/coach" is sent with {"upper_limit": 5}
    And "PUT /v1/team/school" is sent with {"upper_limit": 6}
    And "GET /v1/team?upper_limit=6" is sent
    Then the answer's "items.0.name" is "school"
    When "GET /v1/team?limit=1" is sent
    Then the answer's "next" is "coach"
    When "GET /v1/team?limit=1&after=coach" is sent
    Then the answer's "items.0.name" is "school"
    When "GET /v1/team?colour=red" is sent
    Then the status is 400
    And the answer's "detail" contains "accepted: share_weight, upper_limit"

  Scenario: Without a leader a stale read returns its version
    When "PUT /v1/team/coach" is sent with {"upper_limit": 5}
    Given the replica has no leader
    When "GET /v1/team" is sent
    Then the status is 503
    And the answer's "outcome" is "not-run"
    When "GET /v1/team?stale=1" is sent
    Then the answer's "stale" is true
    And the answer's "version" is 1
    When "GET /v1/status" is sent
    Then the answer's "leader" is "control-0"

  Scenario Outline: Malformed requests are refused with a fitting status
    When "<request>" is sent with the header <header> of <value> and the body <body>
    Then the status is <status>
    And nothing has been committed

    Examples:
      | request           | header         | value     | body             | status |
      | PUT /v1/team/a    | If-Match       | abc       | {}               | 400    |
      | PUT /v1/team/a    | X-Command-Id   | a b       | {}               | 400    |
      | PUT /v1/team/a    | Content-Length | 99999999  | {}               | 413    |
      | PUT /v1/team/a    | Content-Length | 50        | {}               | 400    |
      | PUT /v1/team/a    | Accept         | x         | {"upper_limit":  | 400    |
      | PUT /v1/team/a    | Accept         | x         | [1]              | 400    |
      | PUT /v1/colour/a  | Accept         | x         | {}               | 404    |
      | PATCH /v1/team/a  | Accept         | x         | {}               | 405    |
      | PUT /v2/team/a    | Accept         | x         | {}               | 404    |
      | PUT /v1/key/a     | Accept         | x         | {"withdrawn": true} | 404 |
      | POST /v1/bundle   | Accept         | x         | {"resource": []} | 422    |

  Scenario: Any path and any body get a known status and a valid document
    Then random requests are answered with known statuses and valid documents

  Scenario: A malformed spec is refused with all faults and is not committed
    When "POST /v1/bundle" is sent with
      """
      {"resources": [
        {"kind": "operator", "name": "ann", "spec": {"role": "king"}},
        {"kind": "service", "name": "labels", "spec": {"pool": "absent"}}
      ]}
      """
    Then the status is 422
    And the answer has faults at resources[0].spec.role, resources[1].spec.pool
    And the answer's "detail" contains "accepted: viewer, editor, admin"
    And nothing has been committed

  Scenario: Deeply nested and very long values get a short refusal
    Then specs nested 10 to 3000 levels deep are refused without a commit
    And a value of a million characters gets an answer of under 4000 bytes

  Scenario: An operator never gets the outcome of another operator's command
    Given operators ann, ed and vic with the roles admin, editor and viewer
    When "PUT /v1/team/coach" is sent with {"upper_limit": 1} with the key "ann-1" as command "same"
    And "PUT /v1/team/school" is sent with {"upper_limit": 2} with the key "ed-1" as command "same"
    And "GET /v1/team/school" is sent with the key "vic-1"
    Then the status is 200
