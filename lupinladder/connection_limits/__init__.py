"""Which client connections are kept when descriptors are scarce; no I/O, no clock. See docs/governor.md."""
