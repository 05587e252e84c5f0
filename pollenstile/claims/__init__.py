"""Non-idempotent requests at most once, from any entry host."""
