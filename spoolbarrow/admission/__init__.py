"""The door: shares, retries and come-back times, before a request reaches the decisions."""
