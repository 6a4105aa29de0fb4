"""A start script for the program that makes system calls fail at random.

Each wrapped call raises an error or, where it transfers data, transfers only a part, each with a given probability.
"""

from __future__ import annotations

# A format string; `seed` is the seed of the random source, `chance` the probability of a fault at each call.
FAULTY_START = """import errno, os, random, runpy, sys
sys.path.insert(0, os.getcwd())
import gevent.server, gevent.socket
random_source = random.Random({seed})
def fails(chance, *numbers):
    if random_source.random() < chance:
        raise OSError(random_source.choice(numbers), "injected")
def faulty(owner, name, chance, *numbers, short=False):
    real = getattr(owner, name)
    def call(self, *args):
        fails(chance, *numbers)
        if short and random_source.random() < chance:
            args = (args[0][:1] if name == "send" else 1, *args[1:])
        return real(self, *args)
    setattr(owner, name, call)
faulty(gevent.server.StreamServer, "do_read", {chance}, errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS,
       errno.EINTR, errno.EPROTO)
faulty(gevent.socket.socket, "connect", {chance}, errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EMFILE, errno.ENOBUFS,
       errno.EADDRNOTAVAIL)
faulty(gevent.socket.socket, "send", {chance}, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, short=True)
faulty(gevent.socket.socket, "recv", {chance}, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, short=True)
write = os.write
def faulty_write(descriptor, data):
    if descriptor <= 2:
        fails({chance}, errno.ENOSPC, errno.EIO)
    else:
        fails({chance}, errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM)
        if random_source.random() < {chance}:
            data = data[:1 + random_source.randrange(len(data))]
    return write(descriptor, data)
os.write = faulty_write
sys.argv[:] = ["myrtlespar"]
runpy.run_module("myrtlespar", run_name="__main__")
"""
