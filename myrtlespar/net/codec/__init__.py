"""Codecs: pure functions between the bytes of each protocol and the messages that the rest of the program uses.

For any input, a decoder returns a message whose values are in range, or raises the error that its docstring names.
Codecs use no sockets, clocks or retries.
"""
