Feature: An entry trusts its key table only within the freshness lease

  Scenario Outline: The lease runs from the sending of a confirmed heartbeat
    Given a freshness lease of 2400 ms with version <floor> applied before a restart
    When a heartbeat sent at 1000 is answered with version <committed> while the view has <applied>
    Then the key table is fresh until <until>

    Examples:
      | floor | committed | applied | until |
      | 0     | 5         | 5       | 3400  |
      | 0     | 6         | 5       | 0     |
      | 9     | 5         | 5       | 0     |
      | 5     | 5         | 5       | 3400  |

  Scenario: A reply ahead of the view renews the lease once the view has caught up
    Given a freshness lease of 2400 ms with version 0 applied before a restart
    When a heartbeat sent at 1000 is answered with version 6 while the view has 5
    And the view reaches version 6
    Then the key table is fresh until 3400

  Scenario: The applied version survives a restart and is replaced atomically
    When versions 3 and 8 are stored and the folder is read again
    Then the stored version is 8 and no other file remains

  Scenario: A verified secret is cached until a key changes
    Given a view with a key of team coach
    When its secret is verified twice
    Then it is hashed once
    When the key is withdrawn
    Then the secret is rejected

  Scenario: The cache of verified secrets is bounded
    Given a view with 4200 keys
    When every secret is verified
    Then at most 4096 verified secrets are cached
