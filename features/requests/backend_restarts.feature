Feature: A request is sent only to the incarnation of the grant

  Scenario: A backend server restarts while a request waits for a connection
    Given a backend server whose only allowed connection is in use
    When a second request waits for a connection and a later incarnation is known
    Then the second request gets no connection to the later incarnation

  Scenario: A restarted backend server can refuse a call for its former life
    Given one entry with a scripted dispatcher and backend server
    And the backend server has restarted, which the dispatcher learns later
    When a request is sent with a slot of the former incarnation
    Then the restarted server refused it and then ran it once in a slot of its own
