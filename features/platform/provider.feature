Feature: A provider of instances that does not answer

  Scenario: Orders without an answer delay no caller
    Given three replicas of the book and a silent provider of 40 instances
    And configuration 1 is in force there
    When upkeep of all instances at once is asked for
    And the provider has been given an order
    And configurations are put for 4000 ms
    Then each was in force within 300 ms
    And the leader is the same
    And at most 16 orders were in progress at once
    When the provider answers again
    Then each instance is ordered by one leader only

  Scenario Outline: Whatever the provider sends, an order has an outcome and a bad list is discarded
    When the provider's service <trouble>
    Then an order to it is "<outcome>"
    And it gives no list

    Examples:
      | trouble                                    | outcome    |
      | resets each connection                     | unknown    |
      | closes each connection                     | unknown    |
      | sends "garbage"                            | unknown    |
      | sends "HTTP/1.1 200 OK~Content-Le"         | unknown    |
      | sends "HTTP/1.1 200 OK~Content-Length: 9~~{" | unknown    |
      | sends "HTTP/1.1 200 OK~Content-Length: x~~{" | unknown    |
      | sends "HTTP/1.1 500 no~Content-Length: 0~~" | unknown    |
      | sends "HTTP/1.1 429 no~Content-Length: 0~~" | overloaded |
      | sends "HTTP/1.1 409 no~Content-Length: 1~~{" | busy       |
      | sends "HTTP/1.1 400 no~Content-Length: 0~~" | impossible |
      | sends nothing                              | unknown    |

  Scenario: A leader that loses its lease while it connects sends no order
    When the provider's service sends "HTTP/1.1 200 OK~Content-Length: 0~~"
    And a leader whose lease ends as it connects gives an order
    Then nothing was sent to the provider

  Scenario: The provider's list says what a worker on each instance can hold
    When the provider lists an instance of 64000 milli-cores, 262144 MB and labels "a,r1-3"
    Then the instance can hold 64000 milli-cores and 262144 MB, with labels "a,r1-3"
