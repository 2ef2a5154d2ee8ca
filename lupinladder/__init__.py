"""lupinladder: the decisions of a router in front of a fleet of cache servers."""

from lupinladder.rules import Balancer

__all__ = ["Balancer"]
