"""The fleet's pure modules in virtual time: the same code as in the server, a simulated network, the same scripts.

The same script and seed give the same run. Delay, loss, cuts, pauses and crashes are modelled; processor time is not,
and of the bytes only those of the peer link, whose sizes are the codec's own.
"""
