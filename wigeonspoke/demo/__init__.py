"""The whole system in one process, under load and faults."""
