"""The state that a proxy keeps over a restart, where an operator gives it a disk. See docs/recovery.md.

- `record_log`: the file format, free of I/O
- `records`: the types of record and the state they add up to, free of I/O
- `file_system`: the steps on the file system, which tests replace
- `write_budget`: the limit on bytes written per second
- `file_store`: one proxy's store, which rests on all of these

The platform has no disk that lasts, so the store is off there: `lupinladder.net` imports this package only
if the operator's file asks for a store.
"""
