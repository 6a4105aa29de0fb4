"""The fleet's pure modules in virtual time: the same code as in the server, a modelled network, the same scripts.

Same script and seed, same run. It models delay, loss, cuts, pauses and crashes; no processor time and no bytes but
those of the peer link, whose sizes are the codec's own.
"""
