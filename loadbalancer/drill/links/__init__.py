"""Relays between a drill's processes, over TCP and UDP, on which faults are set and cleared."""
