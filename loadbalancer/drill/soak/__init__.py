"""The soak: drills generated from seeds, with restarts, repeated signals and many idle connections."""
