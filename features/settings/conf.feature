Feature: The example settings are valid and complete

  Scenario: Every file of conf passes check-settings
    Then every file of conf passes check-settings and equals the generated one

  Scenario Outline: check-settings names every fault of a file with its place
    When check-settings reads
      """
      <text>
      """
    Then it reports faults at "<places>"

    Examples:
      | text                                                                                  | places                                     |
      | {"resources": [{"kind": "team", "name": "a", "spec": {}}, {"kind": "hue", "name": 1}]}  | resources[1].kind resources[1].name resources[1].spec |
      | {"resources": [{"kind": "team", "name": "a", "spec": {"upper_limit": -1}}]}            | resources[0].spec.upper_limit              |
      | {"kind": "service", "name": "a", "spec": {"pool": "b"}}                                | resources[0].spec.pool                     |
      | {"a": 1}                                                                               | top                                        |
      | {"a":                                                                                  | syntax                                     |

  Scenario: A process that is not among its peers is reported
    When check-settings reads
      """
      {"process_id": "entry-0", "data_centre": "tamworth",
       "callers_listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2",
       "peer_listen": "127.0.0.1:3", "control": [],
       "entries": [
         {"process_id": "entry-1", "address": "127.0.0.1:3", "data_centre": "x"},
         {"process_id": "entry-1", "address": "127.0.0.1:4", "data_centre": "x"}
       ]}
      """
    Then it reports faults at "entries[1] process_id"

  Scenario: Any text gives valid settings or faults with places
    Then random settings files give a record or faults with places
