"""Know the data centres whose upstreams get nothing new.

The operator names them in the store. Hosts that watch the store tell the others
in their heartbeats. The set is small, so that it is always passed on whole,
with the store revision as of which it is known; the set of a later revision
replaces that of an earlier one, in whatever order they arrive.
"""

from collections.abc import Iterable

import attrs


@attrs.define
class Evacuations:
    """The evacuated data centres, as of a revision of the store.

    Attributes:
        revision: The revision; 0: nothing is known yet.
        data_centres: Names of the evacuated data centres.
    """

    revision: int = 0
    data_centres: frozenset[str] = frozenset()

    def replace(self, data_centres: Iterable[str], revision: int) -> bool:
        """Replace the set if the new one is of a later revision.

        Returns:
            Whether the set has changed.
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        previous = self.data_centres
        self.data_centres = frozenset(data_centres)
        return self.data_centres != previous

    def apply_changes(
        self, begun: Iterable[str], ended: Iterable[str], revision: int
    ) -> bool:
        """Apply the changes of a watch, which are complete up to a revision.

        Returns:
            Whether the set has changed.
        """
        return self.replace(
            (self.data_centres | frozenset(begun)) - frozenset(ended), revision
        )
