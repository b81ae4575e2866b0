"""Plays a scenario: the timeline of its steps, and what each step does to the processes and links."""
