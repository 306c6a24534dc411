"""The request path of an entry: admission, routing, relay and outcome."""
