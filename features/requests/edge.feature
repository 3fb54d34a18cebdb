Feature: Malformed input is refused and leaves other requests unaffected

  Background:
    Given one entry with a scripted dispatcher and backend server
    And an entry with tight bounds

  Scenario Outline: <name> is refused with <status> and "<reason>"
    When a caller sends the head "<head>"
    Then it gets status <status> and reason "<reason>"
    And nothing was run and a valid request is answered

    Examples:
      | name                | status | reason            | head                                                                                     |
      | no key              | 401    | key-missing       | POST /services/orders/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n                            |
      | an unknown key      | 401    | key-unknown       | GET /services/orders/x HTTP/1.1\r\nAuthorization: Bearer a.b\r\n\r\n                     |
      | a key of bytes      | 401    | key-unknown       | GET /services/orders/x HTTP/1.1\r\nAuthorization: Bearer \xff.\xfe\r\n\r\n               |
      | an unknown service  | 404    | service-unknown   | GET /services/nothing/x HTTP/1.1\r\nAuthorization: Bearer KEY\r\n\r\n                    |
      | two lengths         | 400    | request-malformed | POST /services/orders/x HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab     |
      | length and chunks   | 400    | request-malformed | POST /services/orders/x HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n |
      | a signed length     | 400    | request-malformed | POST /services/orders/x HTTP/1.1\r\nContent-Length: +2\r\n\r\nab                         |
      | another coding      | 400    | request-malformed | POST /services/orders/x HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n    |
      | a folded field      | 400    | request-malformed | GET /services/orders/x HTTP/1.1\r\nX-A: b\r\n c\r\n\r\n                                   |
      | a lone return       | 400    | request-malformed | GET /services/orders/x HTTP/1.1\r\nX-A: b\rX-B: c\r\n\r\n                                 |
      | a blank in a name   | 400    | request-malformed | GET /services/orders/x HTTP/1.1\r\nX A: b\r\n\r\n                                         |
      | a broken line       | 400    | request-malformed | GET /services/orders/x HTTP/1.1\r\nnonsense\r\nX-A: b\r\n\r\n                             |
      | an old protocol     | 400    | request-malformed | GET /services/orders/x\r\n\r\n                                                           |
      | another protocol    | 400    | request-malformed | GET /services/orders/x HTTP/2.0\r\n\r\n                                                  |
      | a tunnel            | 400    | request-malformed | CONNECT orders:80 HTTP/1.1\r\n\r\n                                                       |
      | a cut head          | 400    | request-malformed | GET /services/orders/x HTTP/1.1\r\nAuthorization: Bear                                   |
      | bad chunks          | 400    | request-malformed | POST /services/orders/x HTTP/1.1\r\nAuthorization: Bearer KEY\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n |
      | a cut body          | 400    | request-malformed | POST /services/orders/x HTTP/1.1\r\nAuthorization: Bearer KEY\r\nContent-Length: 9\r\n\r\nab |
      | a slow body         | 408    | caller-too-slow   | POST /services/orders/x HTTP/1.1\r\nAuthorization: Bearer KEY\r\nContent-Length: 9\r\nX-Open: yes\r\n\r\nab |
      | a slow head         | 408    | caller-too-slow   | GET /services/orders/x HTTP/1.1\r\nX-Open: yes\r\n                                        |

  Scenario: A head that is too large is refused within its bound
    When a caller sends a head of 100000 bytes
    Then it gets status 431 and reason "head-too-large"
    And nothing was run and a valid request is answered

  Scenario: A body that is declared too large is refused without reading it
    When a caller declares a body of 50000000 bytes and sends Expect: 100-continue
    Then it gets status 413 and reason "body-too-large"
    And nothing was run and a valid request is answered

  Scenario: A chunked body that grows too large is refused while it is received
    When a caller sends a chunked body without an end
    Then it gets status 413 and reason "body-too-large"
    And nothing was run and a valid request is answered

  Scenario: A caller that sends Expect: 100-continue gets status 100 and its answer
    When a caller sends Expect: 100-continue and then its body
    Then it gets status 100 before its body and then its answer

  Scenario: Pipelined requests are answered in their order
    When a caller sends 3 requests at once on one connection
    Then it gets their 3 answers in order

  Scenario: Malformed announcements are refused
    When announcements are sent that are not JSON, not announcements or too large
    Then each is refused with a status of 400 to 413

  Scenario Outline: Odd announcements of another writer are refused
    Then an announcement whose "<field>" is <value> gets status <status>

    Examples:
      | field       | value                  | status |
      | extra       | nested 1900 deep       | 400    |
      | running     | 1180591620717411303424 | 400    |
      | incarnation | 1180591620717411303424 | 400    |
      | slots       | 1e308                  | 400    |
      | address     | "127.0.0.1:99999"      | 400    |
      | address     | "127.0.0.1:80\n"       | 400    |
      | address     | "999.0.0.1:80"         | 400    |
      | running     | 1                      | 204    |

  Scenario: Arbitrary bytes never crash the server
    Then random heads and bodies get a refusal or a closed connection
    And nothing was run and a valid request is answered

  Scenario: A key that is withdrawn while a body is received is refused
    When the key is withdrawn between two halves of a body
    Then it gets status 401 and reason "key-unknown"
