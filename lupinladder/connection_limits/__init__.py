"""Chooses which client connections to close when descriptors are scarce. It does no I/O.

See docs/connection-limits.md.
"""
