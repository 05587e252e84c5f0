Feature: The manifest
  Operators declare the complete system in one document. Validation reports
  every mistake with its path in one run, before the document is applied.

  Scenario Outline: The examples of both deployments are valid manifests
    Given the <name> manifest as written in the examples
    When the example's manifest is checked
    Then the manifest report is "examples/<name>.yaml: ok (5 pipelines, 8 pools, 38 upstreams, 5 teams)" with exit code 0

    Examples:
      | name      |
      | kowalczyk |
      | liwanag   |

  Scenario: A manifest with five mistakes gives exactly five lines
    Given the kowalczyk manifest
    And the manifest has the mistakes
      | path                                    | value            |
      | pipelines.draft-ticket.stages.0.pool    | "encoder"        |
      | pipelines.draft-ticket.stages.1.needs   | ["rerank"]       |
      | pipelines.tag-urgency.deadline_ms       | 619              |
      | pipelines.file-ticket.stages.2.attempts | 3                |
      | models.spare                            | {"version": "1"} |
    When the manifest is checked
    Then the manifest report has exactly these lines and exit code 2
      | path                                    | text                                               |
      | pipelines.draft-ticket.stages.0.pool    | no pool is named 'encoder'                         |
      | pipelines.draft-ticket.stages.1.needs.0 | a cycle: retrieve -> rerank -> retrieve            |
      | pipelines.tag-urgency.deadline_ms       | 619 ms, but the stages are expected to take 620 ms |
      | pipelines.file-ticket.stages.2.attempts | a non-idempotent stage must have 1 attempt, not 3  |
      | models.spare                            | no engine pool holds this model                    |

  Scenario: Type mistakes and semantic mistakes of a manifest are reported in one run
    Given the kowalczyk manifest
    And the manifest has the mistakes
      | path                                  | value      |
      | colour                                | "red"      |
      | policy.retry_ratio                    | "lots"     |
      | pipelines.draft-ticket.urgency        | "asap"     |
      | teams.dispatchers.key_digests         | absent     |
      | pipelines.draft-ticket.stages.3.needs | ["reread"] |
      | pipelines.file-ticket.stages.0        | 7          |
      | pipelines.file-ticket.stages.2.hedge  | true       |
      | pools.drafters.kind                   | "motor"    |
    When the manifest is checked
    Then the manifest report has exactly these lines and exit code 2
      | path                                    | text                                                  |
      | colour                                  | is not a field here                                   |
      | policy.retry_ratio                      | should be a valid number, not "lots"                  |
      | pipelines.draft-ticket.urgency          | should be 'urgent', 'normal' or 'batch', not "asap"   |
      | teams.dispatchers.key_digests           | is required                                           |
      | pipelines.draft-ticket.stages.3.needs.0 | no stage is named 'reread'                            |
      | pipelines.file-ticket.stages.0          | should be a mapping of fields, not 7                  |
      | pipelines.file-ticket.stages.2.hedge    | a non-idempotent stage must not be hedged             |
      | pools.drafters.kind                     | should be 'engine', 'stage' or 'service', not "motor" |

  Scenario: A manifest section that fails to decode is reported once, not at each use
    Given the kowalczyk manifest
    And the manifest has the mistakes
      | path                                    | value |
      | pools                                   | []    |
      | domains                                 | "all" |
      | pipelines.file-ticket.stages.2.attempts | 2     |
    When the manifest is checked
    Then the manifest report has exactly these lines and exit code 2
      | path                                    | text                                              |
      | pools                                   | should be a mapping of names, not []              |
      | domains                                 | should be a mapping of names, not "all"           |
      | pipelines.file-ticket.stages.2.attempts | a non-idempotent stage must have 1 attempt, not 2 |

  Scenario Outline: A manifest field has the wrong type or is out of range
    Given the kowalczyk manifest
    And the manifest has <value> at <path>
    When the manifest is checked
    Then the manifest has the one mistake <path> with "<text>"

    Examples:
      | path                                                    | value   | text                                                 |
      | name                                                    | absent  | is required                                          |
      | pipelines                                               | absent  | is required                                          |
      | models.ticket-writer.version                            | 3.2     | should be text; put it in quotes, not 3.2            |
      | models.ticket-writer.version                            | ""      | String should have at least 1 character, not ""      |
      | models.ticket-writer.memory_mb                          | 0       | should be greater than or equal to 1, not 0          |
      | pools.encoders.cost                                     | -1      | should be greater than or equal to 0, not -1         |
      | pools.drafters.upstreams.drafters-erie-hall-1.slots     | 0       | should be greater than or equal to 1, not 0          |
      | pools.drafters.upstreams.drafters-erie-hall-1.slots     | true    | should be a valid integer, not true                  |
      | pools.drafters.upstreams.drafters-erie-hall-1.fencing   | "no"    | should be 'checked' or 'ignored', not "no"           |
      | pools.drafters.upstreams.drafters-erie-hall-1.memory_mb | 0       | should be greater than or equal to 1, not 0          |
      | pipelines.draft-ticket.teams                            | "all"   | should be a list, not "all"                          |
      | pipelines.draft-ticket.deadline_ms                      | 0       | should be greater than or equal to 1, not 0          |
      | pipelines.draft-ticket.deadline_ms                      | 3600001 | should be less than or equal to 3600000, not 3600001 |
      | pipelines.draft-ticket.deadline_ms                      | 4000.5  | should be a valid integer, not 4000.5                |
      | pipelines.draft-ticket.claim_window_s                   | 0       | should be greater than or equal to 1, not 0          |
      | pipelines.draft-ticket.stages.0.attempts                | 0       | should be greater than or equal to 1, not 0          |
      | pipelines.draft-ticket.stages.0.attempts                | 6       | should be less than or equal to 5, not 6             |
      | pipelines.draft-ticket.stages.0.expect_ms               | 0       | should be greater than or equal to 1, not 0          |
      | pipelines.draft-ticket.stages.3.max_tokens              | 0       | should be greater than or equal to 1, not 0          |
      | pipelines.draft-ticket.stages.0.idempotent              | "yes"   | should be a valid boolean, not "yes"                 |
      | teams.dispatchers.weight                                | 0       | should be greater than 0, not 0                      |
      | teams.dispatchers.weight                                | -1.5    | should be greater than 0, not -1.5                   |
      | teams.dispatchers.weight                                | NaN     | should be a valid number, not "NaN"                  |
      | teams.dispatchers.weight                                | 1e999   | should be a finite number, not Infinity              |
      | policy.max_body_bytes                                   | 0       | should be greater than or equal to 1, not 0          |
      | policy.max_queue                                        | -1      | should be greater than or equal to 1, not -1         |
      | policy.retry_ratio                                      | 1.01    | should be less than or equal to 1, not 1.01          |
      | policy.retry_ratio                                      | -0.1    | should be greater than or equal to 0, not -0.1       |
      | policy.silence_ms                                       | 0       | should be greater than or equal to 1, not 0          |
      | policy.lame_duck_ms                                     | 0       | should be greater than or equal to 1, not 0          |

  Scenario Outline: A manifest name is invalid, unknown or repeated
    Given the kowalczyk manifest
    And the manifest has <value> at <at>
    When the manifest is checked
    Then the manifest has the one mistake <path> with "<text>"

    Examples:
      | at                                                   | value                                                 | path                                                 | text                                                           |
      | name                                                 | "Kowalczyk"                                           | name                                                 | 'Kowalczyk' is not a valid name: use 1 to 63 of a-z, 0-9 and - |
      | name                                                 | "k\n2"                                                | name                                                 | 'k\n2' is not a valid name: use 1 to 63 of a-z, 0-9 and -      |
      | domains.Erie Hall                                    | {"region": "lakes"}                                   | domains.Erie Hall                                    | 'Erie Hall' is not a valid name: use 1 to 63 of a-z, 0-9 and - |
      | domains.erie-hall.region                             | "the lakes"                                           | domains.erie-hall.region                             | 'the lakes' is not a valid name: use 1 to 63 of a-z, 0-9 and - |
      | models.ticket-writer.adapters                        | ["urgency-tags", "a/b"]                               | models.ticket-writer.adapters.1                      | 'a/b' is not a valid name: use 1 to 63 of a-z, 0-9 and -       |
      | models.ticket-writer.adapters                        | ["urgency-tags", "urgency-tags"]                      | models.ticket-writer.adapters.1                      | 'urgency-tags' is listed twice                                 |
      | teams.a_b                                            | {"key_digests": []}                                   | teams.a_b                                            | 'a_b' is not a valid name: use 1 to 63 of a-z, 0-9 and -       |
      | pipelines.draft-ticket.stages.3.name                 | "Generate"                                            | pipelines.draft-ticket.stages.3.name                 | 'Generate' is not a valid name: use 1 to 63 of a-z, 0-9 and -  |
      | pools.encoders.upstreams.e_1                         | {"domain": "erie-hall", "address": "10.0.0.1:1"}      | pools.encoders.upstreams.e_1                         | 'e_1' is not a valid name: use 1 to 63 of a-z, 0-9 and -       |
      | pipelines.draft-ticket.stages.0.pool                 | "coders"                                              | pipelines.draft-ticket.stages.0.pool                 | no pool is named 'coders'                                      |
      | pipelines.draft-ticket.teams                         | ["crew-leads", "vans"]                                | pipelines.draft-ticket.teams.1                       | no team is named 'vans'                                        |
      | pipelines.draft-ticket.teams                         | ["crew-leads", "crew-leads"]                          | pipelines.draft-ticket.teams.1                       | 'crew-leads' is listed twice                                   |
      | pipelines.draft-ticket.stages.3.model                | "poet"                                                | pipelines.draft-ticket.stages.3.model                | no model is named 'poet'                                       |
      | pipelines.draft-ticket.stages.3.adapter              | "rhymes"                                              | pipelines.draft-ticket.stages.3.adapter              | model 'ticket-writer' has no adapter 'rhymes'                  |
      | pipelines.draft-ticket.stages.0.adapter              | "urgency-tags"                                        | pipelines.draft-ticket.stages.0.adapter              | an adapter requires a model                                    |
      | pipelines.draft-ticket.stages.3.needs                | ["rewrite"]                                           | pipelines.draft-ticket.stages.3.needs.0              | no stage is named 'rewrite'                                    |
      | pipelines.draft-ticket.stages.3.needs                | ["rerank", "rerank"]                                  | pipelines.draft-ticket.stages.3.needs.1              | 'rerank' is listed twice                                       |
      | pipelines.draft-ticket.stages.1.name                 | "encode"                                              | pipelines.draft-ticket.stages.1.name                 | 'encode' is already the name of stages.0                       |
      | pools.drafters.models                                | ["ticket-writer", "history-reader", "poet"]           | pools.drafters.models.2                              | no model is named 'poet'                                       |
      | pools.drafters.models                                | ["ticket-writer", "history-reader", "history-reader"] | pools.drafters.models.2                              | 'history-reader' is listed twice                               |
      | pools.encoders.upstreams.encoders-erie-hall-1.domain | "erie"                                                | pools.encoders.upstreams.encoders-erie-hall-1.domain | no domain is named 'erie'                                      |

  Scenario Outline: A pipeline of the manifest has too few stages, a cycle or a short deadline
    Given the kowalczyk manifest
    And the manifest has <value> at <at>
    When the manifest is checked
    Then the manifest has the one mistake <path> with "<text>"

    Examples:
      | at                                    | value        | path                                    | text                                                        |
      | pipelines.draft-ticket.stages         | []           | pipelines.draft-ticket.stages           | a pipeline must have 1 to 32 stages, not 0                  |
      | pipelines.draft-ticket.stages.0.needs | ["encode"]   | pipelines.draft-ticket.stages.0.needs.0 | a cycle: encode -> encode                                   |
      | pipelines.draft-ticket.stages.0.needs | ["generate"] | pipelines.draft-ticket.stages.0.needs.0 | a cycle: encode -> generate -> rerank -> retrieve -> encode |
      | pipelines.draft-ticket.deadline_ms    | 1289         | pipelines.draft-ticket.deadline_ms      | 1289 ms, but the stages are expected to take 1290 ms        |

  Scenario: A manifest stage needs a later stage without a cycle
    Given the kowalczyk manifest
    And the manifest has ["encode"] at pipelines.draft-ticket.stages.2.needs
    And the manifest has ["rerank"] at pipelines.draft-ticket.stages.1.needs
    When the manifest is checked
    Then the manifest has the one mistake pipelines.draft-ticket.stages.1.needs.0 with "'rerank' is a later stage, so it has not run"

  Scenario Outline: A manifest deadline must cover every stage, including unneeded ones
    Given the kowalczyk manifest
    And the manifest has ["encode"] at pipelines.draft-ticket.stages.3.needs
    And the manifest has <value> at pipelines.draft-ticket.deadline_ms
    When the manifest is checked
    Then the manifest report is "m.json: <line>" with exit code <code>

    Examples:
      | value | code | line                                                                                     |
      | 1289  | 2    | pipelines.draft-ticket.deadline_ms: 1289 ms, but the stages are expected to take 1290 ms |
      | 1290  | 0    | ok (5 pipelines, 8 pools, 38 upstreams, 5 teams)                                         |

  Scenario Outline: The manifest would let a non-idempotent call run twice
    Guards against duplicate dispatch: two vans are sent to one tenant. The
    dispatch call ran and its answer was late, so that a second attempt or a
    hedge repeated it. Or a stage failed after the ticket was filed, so that
    the dispatcher received an error and filed the ticket again.

    Given the kowalczyk manifest
    And the manifest has <value> at <at>
    When the manifest is checked
    Then the manifest has the one mistake <path> with "<text>"

    Examples:
      | at                                      | value      | path                                    | text                                                                                             |
      | pipelines.file-ticket.stages.2.attempts | 2          | pipelines.file-ticket.stages.2.attempts | a non-idempotent stage must have 1 attempt, not 2                                                |
      | pipelines.file-ticket.stages.2.attempts | absent     | pipelines.file-ticket.stages.2.attempts | a non-idempotent stage must have 1 attempt, not 2                                                |
      | pipelines.file-ticket.stages.2.hedge    | true       | pipelines.file-ticket.stages.2.hedge    | a non-idempotent stage must not be hedged                                                        |
      | pipelines.file-ticket.idempotent        | true       | pipelines.file-ticket.idempotent        | stage 'dispatch' is non-idempotent: set this to false                                            |
      | pipelines.file-ticket.idempotent        | absent     | pipelines.file-ticket.idempotent        | stage 'dispatch' is non-idempotent: set this to false                                            |
      | pipelines.file-ticket.stages.2.needs    | ["encode"] | pipelines.file-ticket.stages.2.needs    | a non-idempotent stage must need every other stage, directly or indirectly; not needed: generate |

  Scenario: A non-idempotent stage of the manifest must be the last of its pipeline
    Given the kowalczyk manifest
    And the manifest has 1 at pipelines.file-ticket.stages.0.attempts
    And the manifest has false at pipelines.file-ticket.stages.0.idempotent
    When the manifest is checked
    Then the manifest has the one mistake pipelines.file-ticket.stages.0 with "a non-idempotent stage must be the last of its pipeline"

  Scenario Outline: The manifest has a model that no engine can serve as declared
    Given the kowalczyk manifest
    And the manifest has <value> at <at>
    When the manifest is checked
    Then the manifest has the one mistake <path> with "<text>"

    Examples:
      | at                                     | value             | path                                   | text                                                               |
      | pools.drafters.models                  | ["ticket-writer"] | models.history-reader                  | no engine pool holds this model                                    |
      | pools.encoders.models                  | ["ticket-writer"] | pools.encoders.models                  | a stage pool must not hold models                                  |
      | pipelines.draft-ticket.stages.0.model  | "ticket-writer"   | pipelines.draft-ticket.stages.0.model  | a stage on a stage pool must not name a model                      |
      | pipelines.answer-portal.stages.0.model | "ticket-writer"   | pipelines.answer-portal.stages.0.model | a stage on a service pool must not name a model                    |
      | pipelines.draft-ticket.stages.3.model  | absent            | pipelines.draft-ticket.stages.3.model  | a stage on an engine pool must name its model                      |
      | models.history-reader.memory_mb        | 80001             | pools.drafters.models.1                | 'history-reader' takes 80001 MB, the largest upstream has 80000 MB |

  Scenario: An engine pool of the manifest has no models
    Given the kowalczyk manifest
    And the manifest has {"kind": "engine", "upstreams": {"e1": {"domain": "erie-hall", "address": "10.0.0.1:9000"}}} at pools.idle
    When the manifest is checked
    Then the manifest has the one mistake pools.idle.models with "an engine pool must hold at least one model"

  Scenario: A manifest stage names a model that only another pool holds
    Given the kowalczyk manifest
    And the manifest has {"kind": "engine", "models": ["history-reader"], "upstreams": {"e1": {"domain": "erie-hall", "address": "10.0.0.1:9000"}}} at pools.readers
    And the manifest has "readers" at pipelines.draft-ticket.stages.3.pool
    When the manifest is checked
    Then the manifest has the one mistake pipelines.draft-ticket.stages.3.model with "pool 'readers' holds no model 'ticket-writer'"

  Scenario Outline: An upstream address of the manifest is invalid or shared
    Given the kowalczyk manifest
    And the manifest has <value> at pools.encoders.upstreams.encoders-huron-hall-1.address
    When the manifest is checked
    Then the manifest has the one mistake pools.encoders.upstreams.encoders-huron-hall-1.address with "<text>"

    Examples:
      | value             | text                                                                                              |
      | "localhost:9000"  | 'localhost:9000' is not IP:PORT or [IP]:PORT                                                      |
      | "10.0.0.1"        | '10.0.0.1' is not IP:PORT or [IP]:PORT                                                            |
      | "10.0.0.256:9000" | '10.0.0.256:9000' is not IP:PORT or [IP]:PORT                                                     |
      | "10.0.0.1:0"      | '10.0.0.1:0' is not IP:PORT or [IP]:PORT                                                          |
      | "10.0.0.1:65536"  | '10.0.0.1:65536' is not IP:PORT or [IP]:PORT                                                      |
      | "::1:9000"        | '::1:9000' is not IP:PORT or [IP]:PORT                                                            |
      | "[10.0.0.1]:9000" | '[10.0.0.1]:9000' is not IP:PORT or [IP]:PORT                                                     |
      | "0.0.0.0:9000"    | '0.0.0.0:9000' is not the address of one host                                                     |
      | "224.0.0.1:9000"  | '224.0.0.1:9000' is not the address of one host                                                   |
      | "127.0.0.1:21010" | '127.0.0.1:21010' is already the address of pools.encoders.upstreams.encoders-erie-hall-1.address |

  Scenario: A pool of the manifest has no upstreams
    Given the kowalczyk manifest
    And the manifest has {} at pools.invoicing.upstreams
    When the manifest is checked
    Then the manifest has the one mistake pools.invoicing.upstreams with "a pool must have at least one upstream"

  Scenario: A manifest pool without an upstream in one domain gives a warning
    Given the kowalczyk manifest
    And the manifest has absent at pools.invoicing.upstreams.invoicing-erie-hall-1
    When the manifest is checked
    Then the manifest report begins with the warning "m.json: pools.invoicing.upstreams: warning: no upstream in domain 'erie-hall'"

  Scenario Outline: A key digest of the manifest is malformed or shared
    Given the kowalczyk manifest
    And the manifest has <value> at teams.invoicing-office.key_digests.0
    When the manifest is checked
    Then the manifest has the one mistake teams.invoicing-office.key_digests.0 with "<text>"

    Examples:
      | value                                                              | text                                                       |
      | "invoicing-office-example-key"                                     | is not a SHA-256 digest of 64 lowercase hexadecimal digits |
      | "EE6A44B2E2D3ACDCF83C565D82E3D6BE100E4856D38EB82E7189C1DB2D55243D" | is not a SHA-256 digest of 64 lowercase hexadecimal digits |
      | "8e281b04d8beb726e2ee2adb50c8ea232d6e39840d626a2ee2712c4f5ce39ee4" | is also the digest at teams.dispatchers.key_digests.0      |

  Scenario: Texts without a valid document are rejected with one line
    Then each of these manifest texts is rejected with this line
      | document                      | line                                                                         |
      | an empty text                 | document: is empty                                                           |
      | a list                        | document: is not a mapping of fields                                         |
      | a bare string                 | document: is not a mapping of fields                                         |
      | two documents                 | line 2: expected a single document in the stream, but found another document |
      | a key given twice in YAML     | line 3: 'name' is given twice                                                |
      | a key given twice in JSON     | line 2: 'name' is given twice                                                |
      | a number as a key             | line 2: a key is not text; put it in quotes                                  |
      | an unclosed list              | line 2: while parsing a flow sequence, did not find expected ',' or ']'      |
      | a Python tag                  | line 1: unknown tag tag:yaml.org,2002:python/object:os.system                |
      | an undefined alias            | line 1: found undefined alias 'other'                                        |
      | an alias to itself            | line 1: an alias contains itself                                             |
      | an alias bomb                 | line 7: alias expansion is too large                                         |
      | deep nesting in YAML          | line 1: while increasing flow level, exceeded maximum nesting depth          |
      | deep nesting in JSON          | line 1: nests too deeply                                                     |
      | too many bytes                | document: has 1048577 bytes, at most 1048576                                 |
      | a number with too many digits | line 1: the value is not valid for its tag                                   |
      | a control character           | document: control characters are not allowed                                 |
      | bytes that are not UTF-8      | document: is not UTF-8                                                       |
      | an unpaired surrogate         | document: contains text that is not valid Unicode                            |

  Scenario: A manifest with its defaults exceeds the size limit of the object API
    Given the kowalczyk manifest
    And the manifest has 10000 more upstreams in pool encoders
    When the manifest is checked
    Then the manifest is rejected for its size with defaults

  Scenario: Words that YAML 1.1 reads as booleans are names in a manifest
    Given the kowalczyk manifest
    And the manifest has {"key_digests": []} at teams.no
    And the manifest has ["no"] at pipelines.draft-ticket.teams
    When the manifest is checked as bare YAML
    Then the manifest report is "m.json: ok (5 pipelines, 8 pools, 38 upstreams, 6 teams)" with exit code 0

  Scenario: Arbitrary documents raise only manifest errors
    Then arbitrary manifest documents raise nothing but manifest errors
    And arbitrary manifest texts raise nothing but manifest errors
    And corrupted manifest documents raise nothing but manifest errors

  Scenario: The canonical text decodes to an equal manifest
    Then valid manifests decode to equal ones from their canonical text

  Scenario: The changes between two manifests are listed by path
    Given the kowalczyk manifest
    And the manifest has the mistakes
      | path                                            | value                                 |
      | policy.retry_ratio                              | 0.2                                   |
      | teams.visitors                                  | {"key_digests": []}                   |
      | pools.invoicing.upstreams.invoicing-erie-hall-1 | absent                                |
      | pipelines.draft-ticket.stages.0                 | {"name": "clean", "pool": "encoders"} |
    When the manifest is compared with its example
    Then the manifest changes are
      | change                                                                                                                               |
      | ~ pipelines.draft-ticket.stages.(order): ["encode", "retrieve", "rerank", "generate"] -> ["clean", "retrieve", "rerank", "generate"] |
      | + pipelines.draft-ticket.stages.clean: {"adapter": "", "attempts": 2, "expect_ms": 100, "hedge": false, "ide...                      |
      | - pipelines.draft-ticket.stages.encode: {"adapter": "", "attempts": 2, "expect_ms": 20, "hedge": false, "idem...                     |
      | ~ policy.retry_ratio: 0.1 -> 0.2                                                                                                     |
      | - pools.invoicing.upstreams.invoicing-erie-hall-1: {"address": "127.0.0.1:21034", "domain": "erie-hall", "fencing": "ign...          |
      | + teams.visitors: {"key_digests": [], "weight": 1.0}                                                                                 |

  Scenario: Comments, key order and notation are not changes of a manifest
    Given the liwanag manifest
    When the manifest is compared with its example
    Then the manifest has no changes and one digest

  Scenario: The documented schema and reference match the code
    Then the manifest schema in the docs is the one that the code prints
    And the manifest page in the docs holds the reference from the code
