Feature: Planner operations complete despite any fault at any step

  Each row runs the operation once for every step at which the fault may occur
  and for every number of commands that a leader may have committed before it is
  replaced. The guarantees are checked after every committed command.

  Scenario Outline: <fault> during <operation>
    Given the fleet operation "<operation>"
    When the fleet fault "<fault>" is injected at each of <steps> steps
    Then no fleet guarantee was broken and every operation ended

    Examples:
      | operation | fault               | steps |
      | wave      | none                | 12    |
      | wave      | failure             | 12    |
      | wave      | silence             | 12    |
      | wave      | own restart         | 12    |
      | wave      | false drain report  | 12    |
      | wave      | reboot hangs        | 12    |
      | wave      | false reboot report | 12    |
      | wave      | orders lost         | 12    |
      | wave      | reports lost        | 12    |
      | wave      | commands lost       | 12    |
      | wave      | rack lost           | 12    |
      | wave      | data centre lost    | 12    |
      | move      | none                | 16    |
      | move      | failure             | 16    |
      | move      | silence             | 16    |
      | move      | own restart         | 16    |
      | move      | false drain report  | 16    |
      | move      | orders lost         | 16    |
      | move      | reports lost        | 16    |
      | move      | commands lost       | 16    |
      | move      | rack lost           | 16    |
      | repair    | failure             | 16    |
      | repair    | silence             | 16    |
      | repair    | own restart         | 16    |
      | repair    | orders lost         | 16    |
      | repair    | data centre lost    | 16    |
