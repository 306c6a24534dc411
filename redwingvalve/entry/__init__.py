"""The request path: discovery, admission, routing, relay, outcome."""
