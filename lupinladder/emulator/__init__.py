"""The emulator: servers on loopback that behave as those of a cluster, clients, faults and a rule checker.

docs/emulator.md describes it. The proxy never imports this package: its libraries come with the extra
`lupinladder[lab]`.
"""
