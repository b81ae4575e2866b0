"""Checks that judge a drill by its history alone, each by a bound of the scenario."""
