"""Ring buffers with bytes in them."""

from __future__ import annotations

from lupinladder.net.ring_buffer import RingBuffer


def ring_of(data: bytes) -> RingBuffer:
    """A ring buffer that holds these bytes."""
    ring = RingBuffer(1 << 20)
    ring.append(data)
    return ring
