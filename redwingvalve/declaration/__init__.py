"""What an operator declares: models, replicas, services, client accounts."""
