"""Tests; shared fixtures are in `conftest.py`, planted stops in `gates.py`."""
