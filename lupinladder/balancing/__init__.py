"""The decisions of the balancer, from events to actions: no clock, no input or output.

`events`, `actions` and `settings` are the interface, `settings_reader` reads the settings, and `balancer`
is where the decisions begin.
"""
