"""Requests of a node without access to endpoints, served through a peer."""
