"""Count answers that met the targets of their class, per minute."""

import collections
import enum

import attrs

from shallotfold._entry import effects
from shallotfold._model.configuration import Configuration

MINUTE_S = 60.0
WINDOW_MINUTES = 10
MAX_ROWS = 256
_REFUSED_PREFIX = "requests.refused."
_CLASS_PREFIX = "class."


class Measure(enum.Enum):
    """A time with a target; the value is its name in `Targets`."""

    FIRST_TOKEN = "first_token_s"
    WHOLE_ANSWER = "whole_answer_s"


@attrs.frozen(order=True)
class RowKey:
    """One measure of one request class."""

    class_name: str
    measure: Measure = attrs.field(order=lambda measure: measure.value)


@attrs.define
class Tally:
    """Number of answers, and how many of them were within the target."""

    answers: int = 0
    within: int = 0


@attrs.define
class _Minute:
    tallies_by_row: dict[RowKey, Tally] = attrs.field(factory=dict)
    refusals_by_code: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    omitted: int = 0


@attrs.frozen(kw_only=True)
class Row:
    """Attainment of one measure of a class.

    Attributes:
        key: Class and measure.
        minutes: A tally for each minute of the window, oldest first.
        total: Their sum.
    """

    key: RowKey
    minutes: tuple[Tally, ...]
    total: Tally


class Attainment:
    """Counts of the current and recent minutes, in bounded memory.

    Shares are of answers only: a refused request has no answer that could be
    within a target, and is counted by its refusal code instead.
    """

    def __init__(self, max_rows: int = MAX_ROWS) -> None:
        self._max_rows = max_rows
        self._minutes_by_number: dict[int, _Minute] = {}

    def record_time(
        self,
        effect: effects.TimeMetric,
        configuration: Configuration,
        now_s: float,
    ) -> None:
        """Count an answer if the metric is a time with a target.

        Args:
            effect: Any timing; those without a target are ignored.
            configuration: Configuration in force.
            now_s: Monotonic time.
        """
        key = _parse_row_key(effect.name)
        if key is None:
            return
        request_class = configuration.classes_by_name.get(key.class_name)
        if request_class is None:
            return
        target_s = getattr(request_class.targets, key.measure.value)
        if target_s is None:
            return
        minute = self._minute(now_s)
        tally = minute.tallies_by_row.get(key)
        if tally is None:
            if len(minute.tallies_by_row) >= self._max_rows:
                minute.omitted += 1
                return
            tally = minute.tallies_by_row[key] = Tally()
        tally.answers += 1
        tally.within += effect.value_s <= target_s

    def record_count(self, effect: effects.CountMetric, now_s: float) -> None:
        """Count a refusal if the metric is a refusal count."""
        if not effect.name.startswith(_REFUSED_PREFIX):
            return
        code = effect.name.removeprefix(_REFUSED_PREFIX)
        counts = self._minute(now_s).refusals_by_code
        if code in counts or len(counts) < self._max_rows:
            counts[code] += effect.value

    def rows(self, now_s: float) -> tuple[Row, ...]:
        """Return the rows with answers in the window, sorted by class."""
        minutes = self._window(now_s)
        keys = {key for minute in minutes for key in minute.tallies_by_row}
        return tuple(_make_row(key, minutes) for key in sorted(keys))

    def refusals_by_code(self, now_s: float) -> dict[str, int]:
        """Return the refusals in the window."""
        total: collections.Counter[str] = collections.Counter()
        for minute in self._window(now_s):
            total.update(minute.refusals_by_code)
        return dict(sorted(total.items()))

    def omitted(self, now_s: float) -> int:
        """Return the number of answers in the window left out of the rows."""
        return sum(minute.omitted for minute in self._window(now_s))

    def _minute(self, now_s: float) -> _Minute:
        number = int(now_s // MINUTE_S)
        minute = self._minutes_by_number.get(number)
        if minute is None:
            minute = self._minutes_by_number[number] = _Minute()
            oldest = number - WINDOW_MINUTES
            for old in [n for n in self._minutes_by_number if n <= oldest]:
                del self._minutes_by_number[old]
        return minute

    def _window(self, now_s: float) -> list[_Minute]:
        last = int(now_s // MINUTE_S)
        numbers = range(last - WINDOW_MINUTES + 1, last + 1)
        return [self._minutes_by_number.get(n) or _Minute() for n in numbers]


def _parse_row_key(name: str) -> RowKey | None:
    prefix, _, measure = name.rpartition(".")
    if not prefix.startswith(_CLASS_PREFIX):
        return None
    try:
        return RowKey(prefix.removeprefix(_CLASS_PREFIX), Measure(measure))
    except ValueError:
        return None


def _make_row(key: RowKey, minutes: list[_Minute]) -> Row:
    tallies = tuple(m.tallies_by_row.get(key, Tally()) for m in minutes)
    total = Tally(
        sum(tally.answers for tally in tallies),
        sum(tally.within for tally in tallies),
    )
    return Row(key=key, minutes=tallies, total=total)
