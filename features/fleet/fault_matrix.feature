Feature: Every fault at every step of what the planner does to instances

  Each row runs the act once for every step at which the fault may strike and
  for every number of commands that a leader may have committed before it is
  replaced. The promises are asserted after every committed command.

  Scenario Outline: <fault> during <act>
    Given fleet acts of the kind "<act>"
    When the fleet fault "<fault>" strikes at each of <steps> steps
    Then no fleet promise was broken and every act came to its end

    Examples:
      | act    | fault              | steps |
      | wave   | none               | 12    |
      | wave   | failure            | 12    |
      | wave   | silence            | 12    |
      | wave   | own restart        | 12    |
      | wave   | false drain report | 12    |
      | wave   | reboot hangs       | 12    |
      | wave   | false reboot report | 12    |
      | wave   | orders lost        | 12    |
      | wave   | reports lost       | 12    |
      | wave   | commands lost      | 12    |
      | wave   | rack lost          | 12    |
      | wave   | data centre lost   | 12    |
      | move   | none               | 16    |
      | move   | failure            | 16    |
      | move   | silence            | 16    |
      | move   | own restart        | 16    |
      | move   | false drain report | 16    |
      | move   | orders lost        | 16    |
      | move   | reports lost       | 16    |
      | move   | commands lost      | 16    |
      | move   | rack lost          | 16    |
      | repair | failure            | 16    |
      | repair | silence            | 16    |
      | repair | own restart        | 16    |
      | repair | orders lost        | 16    |
      | repair | data centre lost   | 16    |
