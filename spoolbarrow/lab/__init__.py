"""A model of engines, discovery, clients and faults, run in virtual time or on loopback sockets."""
