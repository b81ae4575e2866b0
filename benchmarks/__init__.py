"""Measures that need no kit: speeds, and comparisons with earlier commits. None of them runs in CI."""
