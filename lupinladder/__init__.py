"""lupinladder: the decisions of a router in front of a fleet of cache servers."""

from lupinladder.balancing.balancer import Balancer

__all__ = ["Balancer"]
