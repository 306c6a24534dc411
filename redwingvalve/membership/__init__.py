"""Which entries and controllers are alive, leaving or gone."""
