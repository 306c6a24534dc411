"""Non-idempotent requests run at most once."""
