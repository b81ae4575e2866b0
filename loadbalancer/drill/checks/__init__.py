"""Checks that judge a drill by its history alone, each against a bound of the scenario."""
