"""What operators ask of one process on the management address: status, figures, pause and resume.

Pure: lines, times and counts come in as arguments, replies go out as bytes. It promises an answer to every
line and keeps no socket; the net side (`net/mgmt.py`) bounds connections, line lengths and waits."""
