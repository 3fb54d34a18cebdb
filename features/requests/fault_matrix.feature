Feature: Every fault at every step of a request has a correct outcome

  The last column lists the allowed results: the caller's outcome and how often
  the backend servers ran the work. Combinations that cannot be distinguished
  from a listed one are left out: a fault of a connection before there is one,
  and a wrong length or a late answer before there is an answer.

  Scenario Outline: <fault> at <step>, idempotent <idempotent>
    Given an entry, a dispatcher and two scripted backend servers
    When "<fault>" occurs at "<step>" of a request that is idempotent: <idempotent>
    Then the outcome and the number of runs are one of: <outcome and runs>
    And every slot is returned once, to the holder at that time
    And the next request gets its own answer

    Examples:
      | fault           | step                     | idempotent | outcome and runs        |
      | kill            | before grant             | no         | answered:1              |
      | kill            | before grant             | yes        | answered:1              |
      | kill            | granted                  | no         | answered:1              |
      | kill            | granted                  | yes        | answered:1              |
      | kill            | connecting               | no         | unknown:0 or answered:1 |
      | kill            | connecting               | yes        | answered:1              |
      | kill            | head sent                | no         | unknown:0               |
      | kill            | head sent                | yes        | answered:1              |
      | kill            | half of the body sent    | no         | unknown:0               |
      | kill            | half of the body sent    | yes        | answered:1              |
      | kill            | sent                     | no         | unknown:1               |
      | kill            | sent                     | yes        | answered:2              |
      | kill            | first byte of the answer | no         | unknown:1               |
      | kill            | first byte of the answer | yes        | answered:2              |
      | kill            | half an answer           | no         | unknown:1               |
      | kill            | half an answer           | yes        | answered:2              |
      | kill            | answered                 | no         | answered:1              |
      | kill            | answered                 | yes        | answered:1              |
      | freeze and wake | before grant             | no         | answered:1              |
      | freeze and wake | before grant             | yes        | answered:1              |
      | freeze and wake | granted                  | no         | answered:1              |
      | freeze and wake | granted                  | yes        | answered:1              |
      | freeze and wake | connecting               | no         | answered:1              |
      | freeze and wake | connecting               | yes        | answered:1              |
      | freeze and wake | head sent                | no         | answered:1              |
      | freeze and wake | head sent                | yes        | answered:1              |
      | freeze and wake | half of the body sent    | no         | answered:1              |
      | freeze and wake | half of the body sent    | yes        | answered:1              |
      | freeze and wake | sent                     | no         | answered:1              |
      | freeze and wake | sent                     | yes        | answered:1              |
      | freeze and wake | first byte of the answer | no         | answered:1              |
      | freeze and wake | first byte of the answer | yes        | answered:1              |
      | freeze and wake | half an answer           | no         | answered:1              |
      | freeze and wake | half an answer           | yes        | answered:1              |
      | freeze and wake | answered                 | no         | answered:1              |
      | freeze and wake | answered                 | yes        | answered:1              |
      | cut             | before grant             | no         | answered:1              |
      | cut             | before grant             | yes        | answered:1              |
      | cut             | granted                  | no         | answered:1              |
      | cut             | granted                  | yes        | answered:1              |
      | cut             | connecting               | no         | unknown:0               |
      | cut             | connecting               | yes        | unknown:0               |
      | cut             | head sent                | no         | unknown:0               |
      | cut             | head sent                | yes        | unknown:0               |
      | cut             | half of the body sent    | no         | unknown:0               |
      | cut             | half of the body sent    | yes        | unknown:0               |
      | cut             | sent                     | no         | unknown:1               |
      | cut             | sent                     | yes        | unknown:1               |
      | cut             | first byte of the answer | no         | unknown:1               |
      | cut             | first byte of the answer | yes        | unknown:1               |
      | cut             | half an answer           | no         | unknown:1               |
      | cut             | half an answer           | yes        | unknown:1               |
      | cut             | answered                 | no         | answered:1              |
      | cut             | answered                 | yes        | answered:1              |
      | cut one way     | connecting               | no         | unknown:1               |
      | cut one way     | connecting               | yes        | unknown:1               |
      | cut one way     | head sent                | no         | unknown:1               |
      | cut one way     | head sent                | yes        | unknown:1               |
      | cut one way     | half of the body sent    | no         | unknown:1               |
      | cut one way     | half of the body sent    | yes        | unknown:1               |
      | cut one way     | sent                     | no         | unknown:1               |
      | cut one way     | sent                     | yes        | unknown:1               |
      | cut one way     | first byte of the answer | no         | unknown:1               |
      | cut one way     | first byte of the answer | yes        | unknown:1               |
      | cut one way     | half an answer           | no         | unknown:1               |
      | cut one way     | half an answer           | yes        | unknown:1               |
      | cut one way     | answered                 | no         | answered:1              |
      | cut one way     | answered                 | yes        | answered:1              |
      | silent          | connecting               | no         | unknown:0               |
      | silent          | connecting               | yes        | unknown:0               |
      | silent          | head sent                | no         | unknown:0               |
      | silent          | head sent                | yes        | unknown:0               |
      | silent          | half of the body sent    | no         | unknown:0               |
      | silent          | half of the body sent    | yes        | unknown:0               |
      | silent          | sent                     | no         | unknown:1               |
      | silent          | sent                     | yes        | unknown:1               |
      | silent          | first byte of the answer | no         | unknown:1               |
      | silent          | first byte of the answer | yes        | unknown:1               |
      | silent          | half an answer           | no         | unknown:1               |
      | silent          | half an answer           | yes        | unknown:1               |
      | silent          | answered                 | no         | answered:1              |
      | silent          | answered                 | yes        | answered:1              |
      | slow            | before grant             | no         | answered:1              |
      | slow            | before grant             | yes        | answered:1              |
      | slow            | granted                  | no         | answered:1              |
      | slow            | granted                  | yes        | answered:1              |
      | slow            | connecting               | no         | answered:1              |
      | slow            | connecting               | yes        | answered:1              |
      | slow            | head sent                | no         | answered:1              |
      | slow            | head sent                | yes        | answered:1              |
      | slow            | half of the body sent    | no         | answered:1              |
      | slow            | half of the body sent    | yes        | answered:1              |
      | slow            | sent                     | no         | answered:1              |
      | slow            | sent                     | yes        | answered:1              |
      | slow            | first byte of the answer | no         | answered:1              |
      | slow            | first byte of the answer | yes        | answered:1              |
      | slow            | half an answer           | no         | answered:1              |
      | slow            | half an answer           | yes        | answered:1              |
      | slow            | answered                 | no         | answered:1              |
      | slow            | answered                 | yes        | answered:1              |
      | reset           | connecting               | no         | unknown:0 or answered:1 |
      | reset           | connecting               | yes        | answered:1              |
      | reset           | head sent                | no         | unknown:0               |
      | reset           | head sent                | yes        | answered:1              |
      | reset           | half of the body sent    | no         | unknown:0               |
      | reset           | half of the body sent    | yes        | answered:1              |
      | reset           | sent                     | no         | unknown:1               |
      | reset           | sent                     | yes        | answered:2              |
      | reset           | first byte of the answer | no         | unknown:1               |
      | reset           | first byte of the answer | yes        | answered:2              |
      | reset           | half an answer           | no         | unknown:1               |
      | reset           | half an answer           | yes        | answered:2              |
      | reset           | answered                 | no         | answered:1              |
      | reset           | answered                 | yes        | answered:1              |
      | short length    | sent                     | no         | unknown:1               |
      | short length    | sent                     | yes        | answered:2              |
      | long length     | sent                     | no         | unknown:1               |
      | long length     | sent                     | yes        | answered:2              |
      | late answer     | sent                     | no         | unknown:1               |
      | late answer     | sent                     | yes        | unknown:1               |
      | late answer     | first byte of the answer | no         | unknown:1               |
      | late answer     | first byte of the answer | yes        | unknown:1               |
      | late answer     | half an answer           | no         | unknown:1               |
      | late answer     | half an answer           | yes        | unknown:1               |
      | holder change   | before grant             | no         | answered:1              |
      | holder change   | before grant             | yes        | answered:1              |
      | holder change   | granted                  | no         | answered:1              |
      | holder change   | granted                  | yes        | answered:1              |
      | holder change   | connecting               | no         | answered:1              |
      | holder change   | connecting               | yes        | answered:1              |
      | holder change   | head sent                | no         | answered:1              |
      | holder change   | head sent                | yes        | answered:1              |
      | holder change   | half of the body sent    | no         | answered:1              |
      | holder change   | half of the body sent    | yes        | answered:1              |
      | holder change   | sent                     | no         | answered:1              |
      | holder change   | sent                     | yes        | answered:1              |
      | holder change   | first byte of the answer | no         | answered:1              |
      | holder change   | first byte of the answer | yes        | answered:1              |
      | holder change   | half an answer           | no         | answered:1              |
      | holder change   | half an answer           | yes        | answered:1              |
      | holder change   | answered                 | no         | answered:1              |
      | holder change   | answered                 | yes        | answered:1              |
      | key withdrawn   | before grant             | no         | answered:1              |
      | key withdrawn   | before grant             | yes        | answered:1              |
      | key withdrawn   | granted                  | no         | answered:1              |
      | key withdrawn   | granted                  | yes        | answered:1              |
      | key withdrawn   | connecting               | no         | answered:1              |
      | key withdrawn   | connecting               | yes        | answered:1              |
      | key withdrawn   | head sent                | no         | answered:1              |
      | key withdrawn   | head sent                | yes        | answered:1              |
      | key withdrawn   | half of the body sent    | no         | answered:1              |
      | key withdrawn   | half of the body sent    | yes        | answered:1              |
      | key withdrawn   | sent                     | no         | answered:1              |
      | key withdrawn   | sent                     | yes        | answered:1              |
      | key withdrawn   | first byte of the answer | no         | answered:1              |
      | key withdrawn   | first byte of the answer | yes        | answered:1              |
      | key withdrawn   | half an answer           | no         | answered:1              |
      | key withdrawn   | half an answer           | yes        | answered:1              |
      | key withdrawn   | answered                 | no         | answered:1              |
      | key withdrawn   | answered                 | yes        | answered:1              |
      | leaving         | before grant             | no         | answered:1              |
      | leaving         | before grant             | yes        | answered:1              |
      | leaving         | granted                  | no         | answered:1              |
      | leaving         | granted                  | yes        | answered:1              |
      | leaving         | connecting               | no         | answered:1              |
      | leaving         | connecting               | yes        | answered:1              |
      | leaving         | head sent                | no         | answered:1              |
      | leaving         | head sent                | yes        | answered:1              |
      | leaving         | half of the body sent    | no         | answered:1              |
      | leaving         | half of the body sent    | yes        | answered:1              |
      | leaving         | sent                     | no         | answered:1              |
      | leaving         | sent                     | yes        | answered:1              |
      | leaving         | first byte of the answer | no         | answered:1              |
      | leaving         | first byte of the answer | yes        | answered:1              |
      | leaving         | half an answer           | no         | answered:1              |
      | leaving         | half an answer           | yes        | answered:1              |
      | leaving         | answered                 | no         | answered:1              |
      | leaving         | answered                 | yes        | answered:1              |
