"""Fleet-wide limits of client accounts, held in shares per entry."""
