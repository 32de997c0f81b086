"""Networking of the router: everything that uses sockets, around the decision module."""
