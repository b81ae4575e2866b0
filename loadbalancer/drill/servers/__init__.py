"""Test servers that a drill runs as processes: upstreams, the endpoint list, and the clients."""
