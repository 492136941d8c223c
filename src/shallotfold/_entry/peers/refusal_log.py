"""Log refused peer connections at a bounded rate."""

import time

from loguru import logger

from shallotfold._errors import HandshakeError

REFUSAL_LOG_INTERVAL_S = 10.0


class RefusalLog:
    """Log refused connections at a bounded rate."""

    def __init__(self) -> None:
        self._last_logged_s = -REFUSAL_LOG_INTERVAL_S
        self._suppressed = 0

    def log(self, source: str, error: HandshakeError) -> None:
        """Log a refusal, or count it for the next log line."""
        now_s = time.monotonic()
        if now_s - self._last_logged_s < REFUSAL_LOG_INTERVAL_S:
            self._suppressed += 1
            return
        logger.warning(
            "peer connection {} refused: {} ({} earlier refusals not logged)",
            source,
            error,
            self._suppressed,
        )
        self._last_logged_s = now_s
        self._suppressed = 0
