"""What a proxy does with its stored state when it starts. Free of I/O. See docs/recovery.md.

- `freshness`: what a record of some age and source may be used for
- `warm_start`: what the balancer receives at the start, from the configuration's list and the stored state
- `change_tracker`: which of the proxy's limits have changed enough to be stored again
"""
