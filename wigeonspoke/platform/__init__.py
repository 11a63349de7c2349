"""Adapters between the ingress node and the users' platform.

The package holds the platform's wire format, its store and engine clients,
its settings file, and the program that entry hosts run.
"""
