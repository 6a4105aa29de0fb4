"""Pure translation between the bytes of each protocol and the messages that the rest of the program knows."""
