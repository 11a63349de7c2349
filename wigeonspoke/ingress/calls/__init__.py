"""Requests with one complete response from a replica."""
