"""Drill scenarios: the tables, steps and bounds of a scenario's TOML file."""
