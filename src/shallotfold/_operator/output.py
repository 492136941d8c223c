"""Write results as text or, for programs, as JSON."""

from collections.abc import Sequence
import json
from typing import Any
from typing import TextIO

import attrs

_COLUMN_GAP = "  "


@attrs.frozen(kw_only=True)
class Output:
    """Destination and format of the results of a command.

    Attributes:
        stream: Receives the results; progress and questions go to standard
            error.
        as_json: Whether results are written as JSON.
    """

    stream: TextIO
    as_json: bool = False

    def write_line(self, text: str) -> None:
        """Write a line of text; does nothing in JSON mode."""
        if not self.as_json:
            self.stream.write(text + "\n")

    def write_json(self, content: Any) -> None:
        """Write one JSON object; does nothing in text mode."""
        if self.as_json:
            self.stream.write(json.dumps(content, sort_keys=True) + "\n")

    def write_table(
        self, headings: Sequence[str], rows: Sequence[Sequence[str]]
    ) -> None:
        """Write aligned columns; does nothing in JSON mode."""
        table = [headings, *rows]
        widths = [
            max(len(row[i]) for row in table) for i in range(len(table[0]))
        ]
        for row in table:
            cells = (
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            )
            self.write_line(_COLUMN_GAP.join(cells).rstrip())
