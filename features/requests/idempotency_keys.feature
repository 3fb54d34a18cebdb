Feature: A request with an Idempotency-Key runs once wherever its repeats arrive

  Background:
    Given two entries that share a dispatcher and a backend server

  Scenario: Repeats on the same entry at the same time
    When 5 requests with one key reach the first entry while the first runs
    Then all get the same answer and the work ran once

  Scenario: A repeat on another entry while the first still runs
    When a repeat reaches the other entry while the first runs
    Then all get the same answer and the work ran once

  Scenario: A repeat on another entry after the first has ended
    When a repeat reaches the other entry after the first has ended
    Then all get the same answer and the work ran once

  Scenario: The first caller disconnects and sends its request again
    When the caller of the first request disconnects and sends it again
    Then all get the same answer and the work ran once

  Scenario: The entry of the first request is unreachable
    When a repeat reaches the other entry and the first entry does not answer
    Then the repeat gets the outcome "unknown" and reason "duplicate-unknown" and the work ran once

  Scenario: The answer was too large to keep
    When a request is repeated whose answer is too large to keep
    Then the repeat gets the outcome "unknown" and reason "duplicate-unknown" and the work ran once

  Scenario Outline: The key of another request is refused on the <entry> entry
    When the key is used again on the <entry> entry with another body
    Then the repeat gets the outcome "not-run" and reason "key-reused" and the work ran once

    Examples:
      | entry |
      | first |
      | other |

  Scenario: A first request that did not run leaves its key free
    When the first request with a key is refused and sent again
    Then all get the same answer and the work ran once

  Scenario: Two teams may use the same key
    When a request with the key "k" is sent
    Then the dispatcher receives the key "coach/k"

  Scenario: Kept answers stay within their size limit with random keys
    Then random first requests and repeats never exceed the limit or lose a record
