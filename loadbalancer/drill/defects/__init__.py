"""Seeded defects: the real programs, each with one fault that the checks must find."""
