Feature: Peers authenticate each other with certificates of their deployment

  Background:
    Given an authority "first" and a folder of certificates

  Scenario: Two processes with certificates of one authority exchange messages
    Given control-0 has a certificate of "first" for "control-0"
    And entry-0 has a certificate of "first" for "entry-0"
    When control-0 dials entry-0
    Then both have a link and a message arrives

  Scenario Outline: A peer that cannot prove its id gets no link
    Given control-0 has a certificate of "first" for "control-0"
    And entry-0 has a certificate of "<authority>" for "<name>"
    When control-0 dials entry-0
    Then "<event>" is logged and control-0 never had a link

    Examples:
      | authority | name      | event            |
      | second    | entry-0   | handshake_failed |
      | first     | entry-9   | link_rejected    |

  Scenario: A peer without TLS gets no link
    Given entry-0 has a certificate of "first" for "entry-0"
    And control-0 has no certificate
    When control-0 dials entry-0
    Then "handshake_failed" is logged and entry-0 never had a link

  Scenario: Certificates and authority are replaced without a restart
    Given control-0 has a certificate of "first" for "control-0"
    And entry-0 has a certificate of "first" for "entry-0"
    When control-0 dials entry-0
    Then both have a link and a message arrives
    When the certificates are replaced by those of "second" and the link is closed
    Then both have a link and a message arrives
    And the peer's certificate is signed by "second"

  Scenario: An invalid key file does not replace the loaded files
    Given control-0 has a certificate of "first" for "control-0"
    And entry-0 has a certificate of "first" for "entry-0"
    When the key file of entry-0 is made invalid after it was loaded
    And control-0 dials entry-0
    Then both have a link and a message arrives
