"""Serves language models that span several VMs.

The package is a library with thin daemons: each slice (a sub-package) holds
one duty with its state, its messages and its tests.
"""
