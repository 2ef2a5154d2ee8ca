"""The decision module of the proxy: events in, actions out, without a clock and without input or output.

The interface is `events`, `actions` and `settings`. `settings_reader` parses the settings, and `balancer`
makes the decisions.
"""
