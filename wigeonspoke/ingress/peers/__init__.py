"""Exchange of news between the nodes of a deployment."""
