"""Model checker: explores the state machines of `myrtlespar.state_machines` in every order of events.

A `World` drives the same classes that the server uses. The engine, the dependency, the clients and the policy are
replaced by models that may do anything that the protocol allows. Only the commands `myrtlespar check` and
`myrtlespar fleet check` load this package.
"""
