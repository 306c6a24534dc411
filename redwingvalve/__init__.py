"""Serves language models whose replicas span several VMs.

The package is a library with thin daemons. Each sub-package implements one
responsibility, with its state, its messages and its tests.
"""
