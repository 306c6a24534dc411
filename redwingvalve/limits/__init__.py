"""Fleet-wide limits of accounts, divided into shares of the entries."""
