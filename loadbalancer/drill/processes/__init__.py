"""A drill's processes: where each runs, the files it is started with, and the supervisor that starts it."""
