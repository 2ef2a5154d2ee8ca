"""The errors of system calls that may not recur a moment later, by the manual pages of Linux. No I/O.

A call that fails with such an error is retried, since the request or reply that needs it is still pending.
"""

from __future__ import annotations

import errno

# The system lacks descriptors or memory for now: accept(2), socket(2), connect(2), epoll_ctl(2), open(2).
RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC})

# accept(2): the connection taken off the backlog has already failed; the next one may be fine.
FAILED_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
    }
)

# recv(2), send(2): nothing was read or written, and the connection is unchanged.
RETRIED_TRANSFER_ERRORS = frozenset({errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})

# At a start: resources that may become free, and an address that a former process still uses.
RETRIED_START_ERRORS = RESOURCE_ERRORS | {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EINTR, errno.EIO}


def has_errno_in(error: OSError, numbers: frozenset[int]) -> bool:
    """Whether the error has one of these numbers."""
    return error.errno in numbers
