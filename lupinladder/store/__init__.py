"""What a proxy keeps over a restart, where an operator gives it a disk. See docs/recovery.md.

`log` is the format, free of I/O; `state` is what is kept; `files` is the adapter to the file system. Off
on the platform, which has no disk that lasts: `lupinladder.net` imports none of it unless an operator's
file asks.
"""
