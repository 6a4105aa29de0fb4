"""Tests of the overload controller, one file for each of its parts."""
