"""Fronts and back ends: everything that knows a wire."""
