"""Which client connections are kept when descriptors are scarce; no I/O. See docs/connection-limits.md."""
