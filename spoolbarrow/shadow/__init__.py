"""Shadow traffic: copies a share of live requests to a candidate pool without affecting live answers."""
