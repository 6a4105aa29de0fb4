"""Admission, scheduling and rejection: every overload decision of one server. Pure."""
