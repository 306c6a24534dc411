"""Thrift between our own processes."""
