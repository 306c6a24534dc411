"""The request path of a node: routes, accounts, waiting, sending, relaying."""
