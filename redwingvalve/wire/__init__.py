"""Thrift RPC between the processes of one installation."""
