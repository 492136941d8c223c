"""Keep sockets for the calls that a host depends on."""

# The event loop encodes addresses with it when it connects. Loading it only
# then would take a descriptor.
import encodings.idna  # noqa: F401
import errno
import socket

from loguru import logger

# Enough for the watches, a read, the lease, a duty call and fetches from peers
# at the same time.
RESERVED_SOCKETS = 12


class SocketReserve:
    """Sockets that are opened in advance, for when no descriptor is free.

    Connections of callers and to upstreams may take all descriptors for a
    moment. A host that then can't call the store would go on with an outdated
    configuration.
    """

    def __init__(self, size: int = RESERVED_SOCKETS) -> None:
        """Make a reserve that is empty until `start`.

        Args:
            size: Number of sockets to keep.
        """
        self._size = size
        self._sockets: list[socket.socket] = []
        self._is_open = False

    def start(self) -> None:
        """Open the sockets."""
        self._is_open = True
        self.refill()

    def close(self) -> None:
        """Close the sockets that weren't used."""
        self._is_open = False
        while self._sockets:
            self._sockets.pop().close()

    def refill(self) -> None:
        """Replace used sockets, as far as descriptors are free."""
        while self._is_open and len(self._sockets) < self._size:
            try:
                self._sockets.append(_open_socket())
            except OSError as error:
                if not is_out_of_descriptors(error):
                    logger.warning("Reserving a socket failed: {!r}", error)
                return

    def open_socket(self) -> socket.socket:
        """Return a new TCP socket, or one of the reserve.

        Raises:
            OSError: No descriptor is free, and the reserve is used up.
        """
        try:
            return _open_socket()
        except OSError as error:
            if not is_out_of_descriptors(error) or not self._sockets:
                raise
        logger.info("No descriptor is free; a reserved socket is used")
        return self._sockets.pop()


def is_out_of_descriptors(error: BaseException) -> bool:
    """Whether an operation failed for want of a descriptor."""
    return isinstance(error, OSError) and error.errno in (
        errno.EMFILE,
        errno.ENFILE,
    )


def _open_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(0.0)
    return sock
