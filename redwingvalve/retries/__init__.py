"""When to send again, and how an interrupted stream goes on."""
