"""The lab: a fleet of stand-ins on loopback, load, faults and a referee. See docs/emulator.md.

Nothing that the platform starts imports this package: its libraries come with the extra `lupinladder[lab]`.
"""
