"""Endpoints of the deployment: probes, leases and placement orders."""
