"""Corrections of expected times, learned from observed ones.

A chain may be slower than its configuration says, for example because the
clients of nodes that this one does not hear from use it, too.
"""

import msgspec

# Bounds of a correction, so that a single odd observation neither rules a
# chain out nor makes it look free.
MIN_CORRECTION = 0.25
MAX_CORRECTION = 4.0
# A correction is forgotten after this time in seconds without an observation,
# since the load that caused it may have ended.
CORRECTION_EXPIRY_SECONDS = 15.0
# Weight of a new observation.  Half of a change is learned after two of them.
CORRECTION_SMOOTHING = 0.3
# The same for a shorter gap between events, where peaks count: about one gap in
# twenty is then longer than the corrected one.
FALLING_SMOOTHING = 0.02
# More chains than any deployment has; the oldest correction is dropped.
MAX_CHAINS = 256


class _Correction(msgspec.Struct):
    """A correction and when it was last observed."""

    factor: float
    observed_at: float


class Corrections:
    """Ratio of observed to expected times, by the id of a chain's head.

    With ``keeps_peaks`` a correction falls more slowly than it rises.
    """

    __slots__ = ('by_head', 'keeps_peaks')

    def __init__(self, *, keeps_peaks: bool = False) -> None:
        self.keeps_peaks = keeps_peaks
        self.by_head: dict[str, _Correction] = {}

    def factor(self, head_id: str, now: float) -> float:
        """Return the factor on the expected times of a chain."""
        known = self.by_head.get(head_id)
        if known is None:
            return 1
        if now >= known.observed_at + CORRECTION_EXPIRY_SECONDS:
            self.by_head.pop(head_id)
            return 1
        return known.factor

    def record(
        self, head_id: str, observed: float, expected: float, now: float
    ) -> None:
        """Record an observed time and what was expected."""
        ratio = observed / expected
        bounded = min(MAX_CORRECTION, max(MIN_CORRECTION, ratio))
        factor = self.factor(head_id, now)
        is_slow_change = self.keeps_peaks and bounded < factor
        weight = FALLING_SMOOTHING if is_slow_change else CORRECTION_SMOOTHING
        factor += weight * (bounded - factor)
        self.by_head.pop(head_id, None)
        self.by_head[head_id] = _Correction(factor, now)
        if len(self.by_head) > MAX_CHAINS:
            self.by_head.pop(next(iter(self.by_head)))

    def forget(self, head_id: str) -> None:
        """Forget the correction of a chain whose engines have changed."""
        self.by_head.pop(head_id, None)
