"""Shadow traffic: a share of live requests copied to a candidate pool, without touching live answers."""
