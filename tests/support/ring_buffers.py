"""Ring buffers with contents for tests."""

from __future__ import annotations

from lupinladder.net.ring_buffer import RingBuffer


def ring_of(data: bytes) -> RingBuffer:
    """Return a ring buffer that contains these bytes."""
    ring = RingBuffer(1 << 20)
    ring.append(data)
    return ring
