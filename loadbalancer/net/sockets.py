"""Socket options, and checks of connection state that the kernel knows and the loop does not yet."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios

_INT = struct.Struct("i")
# The ends of fields of struct tcp_info (linux/tcp.h).
_RECEIVED_SEGMENT_END = 24  # of tcpi_rcv_mss
_LAST_RECEIVED_END = 56  # of tcpi_last_data_recv
_SIOCOUTQNSD = 0x894B  # bytes in the send queue that were never sent (linux/sockios.h); the same everywhere


def set_no_delay(transport: asyncio.BaseTransport) -> None:
    """Send small messages at once (TCP_NODELAY), if the kernel has the memory for the option."""
    with contextlib.suppress(OSError):
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the close of a connection a reset, which the peer can't take for the end of a message."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has ended its sending, though there may be unread bytes before the end."""
    if transport.is_closing():
        return True  # by us: its descriptor may have been reused
    return is_peer_closed(transport.get_extra_info("socket"))


def is_peer_closed(connection: socket.socket) -> bool:
    """Return whether the peer of a socket has ended its sending, or has reset the connection."""
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    try:
        return bool(poller.poll(0))
    except OSError:
        return False


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes the kernel has received and the loop has not read (FIONREAD); 0 if unknown."""
    return _queued_bytes(transport, termios.FIONREAD)


def unsent_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many written bytes the kernel has not sent to the peer yet; 0 if unknown."""
    return _queued_bytes(transport, _SIOCOUTQNSD)


def _queued_bytes(transport: asyncio.BaseTransport, request: int) -> int:
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        (size,) = _INT.unpack(fcntl.ioctl(descriptor, request, bytes(_INT.size)))
    except OSError:
        return 0
    return int(size)


def receive_buffer_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the size of the kernel's receive buffer (SO_RCVBUF), with its overhead; 0 if unknown."""
    try:
        return int(transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF))
    except OSError:
        return 0


def received_segment_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the size of the segments that the peer sends (tcpi_rcv_mss of TCP_INFO); 0 if unknown."""
    return _tcp_info_field(transport, _RECEIVED_SEGMENT_END) or 0


def since_last_received_s(transport: asyncio.BaseTransport) -> float | None:
    """Return how long ago the kernel received the peer's last bytes; None if unknown (TCP_INFO)."""
    since_ms = _tcp_info_field(transport, _LAST_RECEIVED_END)
    return None if since_ms is None else since_ms / 1000


def _tcp_info_field(transport: asyncio.BaseTransport, end: int) -> int | None:
    """Return the field of struct tcp_info that ends there; None if the kernel does not tell."""
    try:
        wrapped = transport.get_extra_info("socket")
        info = wrapped.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, end)
        (value,) = _INT.unpack(info[end - _INT.size : end])
    except (OSError, struct.error):
        return None
    return int(value)


def peek_socket(transport: asyncio.BaseTransport) -> bytes | None:
    """Return the first byte that the kernel has received and the loop has not read.

    It is b"" for the end of the stream (or a broken socket), None for nothing.
    """
    wrapped = transport.get_extra_info("socket")
    duplicate = socket.socket(wrapped.family, wrapped.type, wrapped.proto, wrapped.fileno())
    try:
        return duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        duplicate.detach()  # the file descriptor stays the transport's
