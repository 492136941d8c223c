"""Keep the parts of a long prompt as text."""

from collections.abc import Iterator
from collections.abc import Sequence
from typing import overload

import attrs

from shallotfold._gateway.core.model import PromptPart


@attrs.frozen
class EncodedParts(Sequence[PromptPart]):
    """Parts that become objects only while they are looked at.

    Attributes:
        text: `ID:TOKENS` of each part, separated by commas.
        part_count: Number of parts, at least 1.
    """

    text: str
    part_count: int

    def __len__(self) -> int:
        """Return the number of parts."""
        return self.part_count

    def __iter__(self) -> Iterator[PromptPart]:
        """Yield the parts in order."""
        for entry in self.text.split(","):
            part_id, _, tokens = entry.rpartition(":")
            yield PromptPart(part_id, int(tokens))

    @overload
    def __getitem__(self, index: int) -> PromptPart: ...

    @overload
    def __getitem__(self, index: slice) -> tuple[PromptPart, ...]: ...

    def __getitem__(
        self, index: int | slice
    ) -> PromptPart | tuple[PromptPart, ...]:
        """Return a part, or several."""
        return tuple(self)[index]
