"""The node process: proxies callers' requests and manages replicas."""
