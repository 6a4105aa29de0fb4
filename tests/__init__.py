"""Tests; shared fixtures are in `conftest.py`; `gates.py` stops the program at a chosen call."""
