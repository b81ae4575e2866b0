"""What holds for all tests."""

from tests.known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_configure", "pytest_terminal_summary"]
