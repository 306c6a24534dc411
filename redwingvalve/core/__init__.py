"""What every slice shares: clocks, findings, outcomes, errors, invariants."""
