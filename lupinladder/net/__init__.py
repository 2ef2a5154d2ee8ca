"""The real proxy: sockets around the decision module."""
