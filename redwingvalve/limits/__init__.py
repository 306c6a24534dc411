"""Fleet-wide limits of accounts, held in shares per entry."""
