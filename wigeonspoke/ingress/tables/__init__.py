"""Tables of the store: followed, relayed to peers and applied."""
