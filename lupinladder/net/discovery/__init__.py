"""Discovery: which servers there are, where, and what changes."""
