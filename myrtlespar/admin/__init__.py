"""Operators' commands of one process: status, metrics, pause and resume.

Pure: lines, times and counts come in as arguments, replies go out as bytes. `net/admin_server.py` owns the sockets and
bounds connections, line lengths and waits.
"""
