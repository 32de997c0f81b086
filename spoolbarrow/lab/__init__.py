"""The lab: a model of engines, discovery, clients and troubles, played in virtual time or on sockets."""
