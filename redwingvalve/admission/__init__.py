"""Admission control: decides which requests are sent, queued or refused."""
