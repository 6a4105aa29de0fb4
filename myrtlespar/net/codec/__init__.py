"""Pure translation between the bytes of each protocol and the messages that the rest of the program knows.

Whatever a peer sends, a decoder returns a message within its bounds or raises the error that its docstring names. There
are no sockets, clocks or retries here.
"""
