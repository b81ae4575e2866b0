"""Stand-ins and tools for the cases 6 to 10."""
