"""The network side of the proxy: sockets, protocols and the event loop around the balancer."""
