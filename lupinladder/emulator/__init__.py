"""The emulator: servers on loopback that act as a cluster, clients, injected faults and a rule checker.

docs/emulator.md describes it. The proxy must not import this package: the libraries that it needs are
installed only with the extra `lupinladder[lab]`.
"""
