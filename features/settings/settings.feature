Feature: Settings are checked before any socket opens

  Scenario: A good file with comments is accepted
    When entry settings are parsed from
      """
      {
        // One entry of three.
        "process_id": "entry-0",
        "data_centre": "tamworth",
        "callers_listen": "127.0.0.1:8000",
        "admin_listen": "127.0.0.1:8001",
        "peer_listen": "127.0.0.1:8002",
        "control": [],
        "entries": [],
      }
      """
    Then the settings are accepted

  Scenario: Every fault is reported in one run, with its place
    When entry settings are parsed from
      """
      {
        "process_id": "Entry 0",
        "data_center": "tamworth",
        "callers_listen": "localhost:8000",
        "admin_listen": "127.0.0.1:8001",
        "control": [{"process_id": "c", "address": 5, "data_centre": "x"}],
        "entries": [],
        "links": {"heartbeat_ms": 1},
      }
      """
    Then faults are reported at
      | place               |
      | process_id          |
      | data_center         |
      | data_centre         |
      | callers_listen      |
      | peer_listen         |
      | control[0].address  |
      | links.heartbeat_ms  |
