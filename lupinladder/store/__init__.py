"""Persists a proxy's state across restarts if the operator configures a store. See docs/recovery.md.

- `record_log`: the file format, free of I/O
- `records`: the record types and the state that is built from them, free of I/O
- `file_system`: the file system calls, which tests replace
- `write_budget`: the limit on bytes written per second
- `file_store`: one proxy's store, built on the modules above

The platform offers no persistent disk, so the store is off there: `lupinladder.net` imports this package
only if the operator's file configures a store.
"""
