"""The control listener for operators, its API calls and metrics, and the handover between processes."""
