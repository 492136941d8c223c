"""Define the base classes of the events of all reducers.

Times are in seconds: `now_s` from the monotonic clock, `wall_s` since the
epoch.
"""

import attrs


@attrs.frozen(kw_only=True)
class Event:
    """Base of all events.

    Attributes:
        now_s: Monotonic time at which the event was observed.
    """

    now_s: float


@attrs.frozen(kw_only=True)
class Tick(Event):
    """Time has passed; sent periodically while the process runs.

    Attributes:
        wall_s: Seconds since the epoch.
        random: Uniform random number in [0, 1).
    """

    wall_s: float
    random: float
