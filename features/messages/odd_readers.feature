Feature: Readers of outside bytes give a value for any of them

  Scenario: Clients take an answer that is nested too deeply for none
    When a service sends JSON nested 100000 deep
    Then the command line's client has no answer
    And the platform's list of workers is a fault

  Scenario: A call that is nested too deeply is refused
    Then a call of a peer nested 100000 deep cannot be decoded

  Scenario Outline: Settings name the address that cannot be used
    Then the listening address "<address>" is a fault

    Examples:
      | address          |
      | 127.0.0.1:99999  |
      | 127.0.0.1:65536  |
      | 999.0.0.1:80     |
      | 127.0.0.1:٨٠     |

  Scenario: A peer whose id is no address ends no task
    When messages are sent to peers with the ids "x:99999,10.0.0.1:99999,garbage"
    Then no task has ended with an error
