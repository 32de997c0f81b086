"""The operators' listener: calls and figures, which are pure, and the sockets they come by."""
