"""Operators' commands of one process: status, metrics, pause and resume. Pure.

Lines, times and counts come in as arguments; replies go out as bytes. Sockets are in `net/admin_server.py`, which
bounds connections, line lengths and waits.
"""
