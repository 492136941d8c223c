"""Keep the header lines of a request as bytes."""

_LINE_END = b"\n"
_NAME_END = b":"


class CompactHead:
    """Header lines in one buffer.

    An object for each name and value takes up to 30 times the bytes of a short
    header line.
    """

    __slots__ = ("_lines",)

    def __init__(self) -> None:
        self._lines = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes held."""
        return len(self._lines)

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header.

        Args:
            name: Name as sent, a token of RFC 9110: it has no colon.
            value: Value without surrounding white space.

        Raises:
            ValueError: The value contains a line end.
        """
        if _LINE_END in value:
            raise ValueError("line end in a header value")
        self._lines += b"%b:%b\n" % (name, value)

    def expand(self) -> tuple[list[tuple[bytes, bytes]], list[bytes]]:
        """Return names in lower case with their values, and names as sent."""
        headers: list[tuple[bytes, bytes]] = []
        names: list[bytes] = []
        # Splitting at \n only: `splitlines` also splits at a lone \r.
        for line in bytes(self._lines).split(_LINE_END)[:-1]:
            name, _, value = line.partition(_NAME_END)
            headers.append((name.lower(), value))
            names.append(name)
        return headers, names
