"""Execution of scenarios: the player that follows the timeline, and the actions of each step."""
