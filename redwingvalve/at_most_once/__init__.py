"""At most once: which entry may run a non-idempotent request, and when."""
