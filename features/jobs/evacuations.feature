Feature: Evacuations of data centres

  Background:
    Given a simulation of 6 workers without faults
    And its workers are in the data centres "north" and "south"

  # Operators resend an order until it gets a clear answer.
  Scenario: Orders that are repeated or that end nothing change nothing
    When the evacuation of "north" ends
    Then the answer is "Done"
    And these are evacuated: ""
    When the evacuation of "north" begins
    And the simulation runs for 1000 ms
    And the evacuation of "north" begins
    Then the answer is "Done"
    And the book has not changed with the last order
    When the evacuation of "north" ends
    And the evacuation of "north" ends
    Then the answer is "Done"
    And these are evacuated: ""

  # Orders carry no identity, so that a delayed one begins a new evacuation.
  Scenario: Orders that cross are ordered by the log
    When the evacuation of "north" begins
    And the evacuation of "south" begins
    And the evacuation of "north" ends
    And the evacuation of "north" begins
    And the evacuation of "south" ends
    Then these are evacuated: "north"

  Scenario: An unknown data centre is refused, but no order that was accepted
    When the evacuation of "north" begins
    And the evacuation of "south" begins
    And the evacuation of "south" ends
    And a leader takes over that knows only the data centres "east" and "west"
    And the evacuation of "nowhere" begins
    Then the answer is "UnknownDataCentre"
    When the evacuation of "nowhere" ends
    Then the answer is "UnknownDataCentre"
    When the evacuation of "west" begins
    Then the answer is "Done"
    When the evacuation of "north" begins
    Then the answer is "Done"
    When the evacuation of "south" ends
    Then the answer is "Done"
    And these are evacuated: "north,west"

  Scenario Outline: A name of <chars> characters is answered with "<answer>"
    When the evacuation of a data centre with <chars> characters begins
    Then the answer is "<answer>"

    Examples:
      | chars | answer     |
      | 0     | BadRequest |
      | 200   | Done       |
      | 201   | BadRequest |

  Scenario: No task starts in an evacuated data centre, and again after the end
    When job "a" of 1 step of 40 tasks of 3000 ms is submitted
    And the simulation runs for 1000 ms
    And the evacuation of "north" begins
    And job "b" of 1 step of 60 tasks is submitted
    And the simulation runs for 20000 ms
    Then job "a" is "completed"
    And job "b" is "completed"
    And no guarantee was violated
    When the evacuation of "north" ends
    And job "c" of 1 step of 60 tasks is submitted
    And the simulation runs for 1000 ms
    Then tasks of job "c" run in "north"

  # The next leader knows the evacuation only from the book.
  Scenario: A leader that changes before the first report starts nothing there
    When job "a" of 1 step of 6 tasks of 3000 ms is submitted
    And the simulation runs for 1000 ms
    And the evacuation of "north" begins
    And a new leader takes over
    And job "b" of 1 step of 60 tasks is submitted
    And the simulation runs for 20000 ms
    Then job "a" is "completed"
    And job "b" is "completed"
    And no guarantee was violated

  Scenario: A snapshot keeps evacuations, and older ones are still read
    When the evacuation of "north" begins
    And the evacuation of "south" begins
    And the evacuation of "south" ends
    Then a restored snapshot has the same evacuations
    And a snapshot of an earlier version has none

  # An order in an answer that was lost, or that has not been sent.
  Scenario Outline: An order on its way when the evacuation begins is <outcome>
    When <kind> is assigned in "north", and its order <fate>
    And the evacuation of its data centre begins
    And its worker reports again
    Then its run is <state>
    When the simulation runs for 8000 ms
    Then no guarantee was violated
    And its task has been run

    Examples:
      | kind       | fate         | outcome    | state             |
      | a task     | was not sent | taken back | not assigned there |
      | a task     | was lost     | taken back | not assigned there |
      | a task     | has arrived  | carried out | assigned there    |
      | a gang     | was not sent | taken back | not assigned there |

  # The answer is built once the commands are committed.
  Scenario: An answer that is built after the order to evacuate starts nothing
    When a task is assigned in "north", and its order was not sent
    And the evacuation begins between a report of its worker and the answer
    Then the answer starts nothing

  Scenario Outline: Evacuations beside <faults> keep the guarantees
    When random simulations of evacuations beside <faults> with seeds <first> to <last> are run
    Then no run has violated a guarantee

    Examples:
      | faults           | first | last |
      | waves and faults | 0     | 14   |
      | waves            | 100   | 104  |
      | other leaders    | 200   | 209  |
