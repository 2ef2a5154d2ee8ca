"""Decides which state is stored and how stored state is used at startup. Free of I/O. See docs/recovery.md.

- `freshness`: what a record may be used for, by its age and source
- `warm_start`: the balancer's initial list and restored state, from the configuration and the store
- `change_tracker`: which limits have changed enough to be stored again
"""
