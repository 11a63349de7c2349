"""Requests whose response is a stream of events from a chain."""
