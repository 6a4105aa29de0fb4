"""A model checker: explores the state machines of `myrtlespar.state_machines` in every order of events.

A world drives the very classes that the server runs on; models of engine, dependency, clients and policy around them
do whatever the protocol allows. Loaded by `myrtlespar check` only.
"""
