"""Request path of a node: routing, admission, queueing and forwarding."""
