"""Engines suspected to have failed, until they answer a probe.

The registry keeps listing an engine for several heartbeats after it crashed
or lost its network.  A node therefore removes an engine from its chains as
soon as it observes a fault itself: a refused connection, a stream without
events, or a refusal that names the engine.
"""

import msgspec

from wigeonspoke.core.fleet import Endpoint

PROBE_INTERVAL_SECONDS = 1.0
# Engines that take at least this multiple of the step time of their
# accelerator are avoided where possible.
SLOWDOWN_THRESHOLD = 2.0
# How long new requests prefer other chains after a chain has failed, refused a
# request or gone silent.  Meanwhile its engines are probed one by one.
DEPRIORITIZE_SECONDS = 0.5


class Suspicion(msgspec.Struct):
    """Why an engine is avoided, and when to probe it again.

    ``refuses`` is set for an engine that answers probes but accepts no new
    work; most likely it is shutting down and the registry does not show it
    yet.
    """

    endpoint: Endpoint
    reason: str
    since: float
    probe_at: float
    refuses: bool = False


class SuspectRegistry:
    """Suspected and slow engines, and temporarily deprioritized chains.

    ``suspicions`` and ``slow`` are keyed by endpoint id.  Engines in ``slow``
    answer, but run at least ``SLOWDOWN_THRESHOLD`` times slower than their
    accelerator should.  ``deprioritized_until`` is keyed by the endpoint id
    of a chain's head.  ``revision`` increases whenever an engine enters or
    leaves ``suspicions`` or ``slow``, so that cached chains can be
    invalidated.
    """

    __slots__ = ('deprioritized_until', 'revision', 'slow', 'suspicions')

    def __init__(self) -> None:
        self.suspicions: dict[str, Suspicion] = {}
        self.slow: dict[str, Suspicion] = {}
        self.deprioritized_until: dict[str, float] = {}
        self.revision = 0

    def suspect(
        self,
        endpoint: Endpoint,
        reason: str,
        now: float,
        *,
        refuses: bool = False,
    ) -> bool:
        """Mark an engine as suspect; return whether it was not before.

        If the same start of the engine is suspect already, only its next
        probe is postponed.
        """
        known = self.suspicions.get(endpoint.endpoint_id)
        if known is not None and known.endpoint.born == endpoint.born:
            known.probe_at = now + PROBE_INTERVAL_SECONDS
            return False
        self.suspicions[endpoint.endpoint_id] = Suspicion(
            endpoint,
            reason,
            now,
            now + PROBE_INTERVAL_SECONDS,
            refuses,
        )
        self.revision += 1
        return True

    def clear(self, endpoint_id: str) -> bool:
        """Clear the suspicion of an engine; return whether there was one."""
        removed = self.suspicions.pop(endpoint_id, None)
        if removed is not None:
            self.revision += 1
        return removed is not None

    def is_suspect(self, endpoint: Endpoint) -> bool:
        """Return whether an engine is suspect.

        A suspicion applies to one start of an engine, identified by ``born``.
        """
        known = self.suspicions.get(endpoint.endpoint_id)
        return known is not None and known.endpoint.born == endpoint.born

    def record_slowdown(
        self, endpoint: Endpoint, slowdown: float, now: float
    ) -> bool:
        """Record the slowdown that an engine reports.

        A slowdown of 1 is the nominal speed of its accelerator; at 2 a step
        takes twice as long.  Return whether the engine became slow or ceased
        to be.
        """
        endpoint_id = endpoint.endpoint_id
        if slowdown < SLOWDOWN_THRESHOLD:
            known = self.slow.pop(endpoint_id, None)
            self.revision += known is not None
            return known is not None
        if endpoint_id in self.slow:
            return False
        reason = f'pace {slowdown:.1f}'
        probe_at = now + PROBE_INTERVAL_SECONDS
        self.slow[endpoint_id] = Suspicion(endpoint, reason, now, probe_at)
        self.revision += 1
        return True

    def is_slow(self, endpoint: Endpoint) -> bool:
        """Return whether this start of an engine is slow."""
        known = self.slow.get(endpoint.endpoint_id)
        return known is not None and known.endpoint.born == endpoint.born

    def remove(self, endpoint_id: str) -> None:
        """Remove all entries of an endpoint."""
        self.clear(endpoint_id)
        if self.slow.pop(endpoint_id, None) is not None:
            self.revision += 1

    def all(self) -> tuple[Suspicion, ...]:
        """Return the entries of all suspect and slow engines."""
        return (*self.suspicions.values(), *self.slow.values())

    def take_due(self, now: float) -> list[Suspicion]:
        """Return the entries due for a probe and schedule their next one."""
        due = [
            suspicion for suspicion in self.all() if suspicion.probe_at <= now
        ]
        for suspicion in due:
            suspicion.probe_at = now + PROBE_INTERVAL_SECONDS
        return due

    def deprioritize(self, head_id: str, now: float) -> bool:
        """Rank a chain below others for ``DEPRIORITIZE_SECONDS``.

        Return whether it was not deprioritized before.
        """
        is_new = not self.is_deprioritized(head_id, now)
        self.deprioritized_until[head_id] = now + DEPRIORITIZE_SECONDS
        return is_new

    def restore(self, head_id: str) -> None:
        """Restore the rank of a chain that has produced an event."""
        self.deprioritized_until.pop(head_id, None)

    def is_deprioritized(self, head_id: str, now: float) -> bool:
        """Return whether a chain is deprioritized."""
        return self.deprioritized_until.get(head_id, 0) > now
