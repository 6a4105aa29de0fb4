"""The operators' commands on the management address: status, metrics, pause and resume.

Pure: lines, times and counts are arguments, replies are returned as bytes. `net/admin_server.py` owns the sockets and
limits the number of connections, line lengths and waiting times.
"""
