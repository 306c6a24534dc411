"""Declarations of models, replicas, services and client accounts."""
