"""Seeded defects: the real programs, made worse in one place, for checks that must find it."""
