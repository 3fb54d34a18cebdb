Feature: A request is sent only to the incarnation of the grant

  Scenario: A backend server restarts while a request waits for a connection
    Given a backend server whose only allowed connection is in use
    When a second request waits for a connection and a later incarnation is known
    Then the second request gets no connection to the later incarnation
