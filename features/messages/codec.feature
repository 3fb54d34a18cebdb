Feature: Messages between processes are encoded and decoded without loss

  Scenario: Every message is unchanged after encoding and decoding
    Then every message type with random fields is unchanged after encoding

  Scenario: The committed schema matches the message classes
    Then the committed schema matches the message classes

  Scenario: Arbitrary bytes are rejected or decode to a valid message
    Then arbitrary bytes are rejected or decode to a message

  Scenario: Clock stamps strictly increase
    Then stamps increase with random local events and received stamps
