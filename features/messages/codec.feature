Feature: Messages between processes survive their encoding

  Scenario: Every message is the same after encoding and decoding
    Then every message type survives encoding with random fields

  Scenario: The committed schema is the one that the messages give
    Then the committed schema matches the message classes

  Scenario: Arbitrary bytes give an error and no message
    Then arbitrary bytes are rejected or decode to a message

  Scenario: Clock stamps only grow
    Then stamps grow through random local events and receipts
