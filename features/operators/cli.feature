Feature: The command line reports results by text and by exit status

  Background:
    Given two control processes that serve the command line

  Scenario: Resources are applied, shown, changed and deleted
    When bambookeel runs "apply FILE" with the file
      """
      // Two resources, in any order.
      [{"kind": "service", "name": "labels", "spec": {"pool": "labels"}},
       {"kind": "pool", "name": "labels", "spec": {"wanted_size": 6}}]
      """
    Then it exits 0 and prints "applied in version 1"
    When bambookeel runs "get pool --output=json"
    Then it exits 0 and prints ""name": "labels""
    When bambookeel runs "explain service labels"
    Then it exits 0 and prints "not reported yet"
    When bambookeel runs "delete pool labels"
    Then it exits 1 and prints "referred to by service/labels"
    When bambookeel runs "delete service labels --if_version=7"
    Then it exits 3 and prints "version 1 holds"
    When bambookeel runs "delete service/labels"
    Then it exits 0 and prints "applied in version"
    When bambookeel runs "get service labels"
    Then it exits 4 and prints "no service 'labels'"

  Scenario Outline: Bad usage names the value and what would be accepted
    When bambookeel runs "<arguments>"
    Then it exits <status> and prints "<text>"

    Examples:
      | arguments             | status | text                        |
      | hue                   | 2      | accepted: get, apply        |
      | get hue               | 2      | accepted: team, key         |
      | get team colour=red   | 1      | accepted: share_weight      |
      | apply /no/such/file   | 2      | No such file                |
      | get team --key=wrong  | 6      | an operator's key           |
      | status                | 0      | leader control-0 in term 3  |

  Scenario: After a lost answer the change is sent to another address with the same command id
    Given the first control process commits but loses its answers
    When bambookeel runs "apply FILE" with the file
      """
      {"kind": "team", "name": "coach", "spec": {"upper_limit": 3}}
      """
    Then it exits 0 and prints "applied in version 1"

  Scenario: Requests and watches skip a control process that does not answer
    Given the first control process is stopped
    When bambookeel runs "create-key k-1 --team=coach --dry_run"
    Then it exits 1 and prints "team 'coach' does not exist"
    When bambookeel runs "apply FILE" with the file
      """
      {"kind": "team", "name": "coach", "spec": {"upper_limit": 3}}
      """
    Then it exits 0 and prints "applied in version 1"
    When bambookeel watches from version 0 until 1 line
    Then the line is "1 team/coach state=- share_weight=1.0 upper_limit=3"

  Scenario: No control process answers
    Given both control processes are stopped
    When bambookeel runs "get team --tries=1"
    Then it exits 5 and prints "no answer"

  Scenario: A drain of an instance is requested and cancelled
    When bambookeel runs "apply FILE" with the file
      """
      [{"kind": "pool", "name": "labels", "spec": {"wanted_size": 1}},
       {"kind": "instance", "name": "w-1",
        "spec": {"pool": "labels", "data_centre": "tamworth", "rack": "r-1"}}]
      """
    And bambookeel runs "drain w-1"
    Then it exits 0 and prints "applied in version 2"
    When bambookeel runs "get instance drain_wanted=true"
    Then it exits 0 and prints "instance/w-1"
    When bambookeel runs "drain w-1 --undo"
    And bambookeel runs "get instance/w-1"
    Then it exits 0 and prints "drain_wanted=false"
