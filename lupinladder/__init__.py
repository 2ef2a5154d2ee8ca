"""lupinladder: the decision module of a proxy in front of a fleet of cache servers."""

from lupinladder.balancing.balancer import Balancer

__all__ = ["Balancer"]
