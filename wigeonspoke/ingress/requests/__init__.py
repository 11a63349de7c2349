"""Requests of clients: attempts at endpoints and their responses."""
