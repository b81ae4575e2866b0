"""The soak: drills that are made from a seed, of restarts, signals in series and crowds."""
