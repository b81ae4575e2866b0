"""What a drill is: the tables, steps and bounds of a scenario's TOML file."""
