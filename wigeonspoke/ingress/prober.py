"""Asking engines that are under doubt whether they are there."""

import time

import eventlet
from returns.result import Success

from wigeonspoke.core.chains import Chain
from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.ingress.protocols import EngineControl, EngineState
from wigeonspoke.ingress.state import IngressState

ASK_SECONDS = 0.25
ASKS = 2
ASK_AGAIN_SECONDS = 0.5
ROUND_SECONDS = 0.25
# With less of its memory free than this, an engine refuses for want of it.
FULL_SHARE = 0.15
REFUSED = 'refused'


class Prober:
    """Asks the engines of a chain one by one, and suspects again later."""

    __slots__ = ('asked_at', 'control', 'state')

    def __init__(self, state: IngressState, control: EngineControl) -> None:
        self.state = state
        self.control = control
        self.asked_at: dict[str, float] = {}

    def check_chain(
        self,
        chain: Chain,
        reason: str,
        fault_address: str = '',
    ) -> None:
        """Ask every engine of a chain, unless that was just done.

        If the engine at fault is known, it alone is asked.
        """
        now = time.monotonic()
        for hop in chain.hops:
            endpoint = hop.endpoint
            if fault_address not in {'', endpoint.address}:
                continue
            last = self.asked_at.get(endpoint.endpoint_id, 0)
            if now - last >= ASK_AGAIN_SECONDS:
                self.asked_at[endpoint.endpoint_id] = now
                eventlet.spawn(self._check, endpoint, reason)

    def run(self) -> None:
        """Ask suspects again, for ever."""
        while True:
            eventlet.sleep(ROUND_SECONDS)
            for suspicion in self.state.suspects.take_due(time.monotonic()):
                reason = REFUSED if suspicion.refuses else 'suspect'
                eventlet.spawn(self._check, suspicion.endpoint, reason)
            self._forget()

    def _check(self, endpoint: Endpoint, reason: str) -> None:
        """Ask an engine twice before it is taken for lost."""
        problem = ''
        for _ in range(ASKS):
            asked = self.control.ask_state(endpoint.address, ASK_SECONDS)
            if isinstance(asked, Success):
                self._judge(endpoint, asked.unwrap(), reason)
                return
            problem = asked.failure()
        self._suspect(endpoint, f'{reason}: {problem}')

    def _judge(
        self,
        endpoint: Endpoint,
        found: EngineState,
        reason: str,
    ) -> None:
        """Take in an engine's state, and whether it takes new work."""
        if found.born != endpoint.born and endpoint.born:
            self._suspect(endpoint, f'{reason}: another start')
        elif reason == REFUSED and self._refuses(endpoint, found):
            self._suspect(endpoint, 'takes no new work', refuses=True)
        else:
            self._take(endpoint, found)

    def _refuses(self, endpoint: Endpoint, found: EngineState) -> bool:
        """Tell whether an engine refuses though it has memory free."""
        service = self.state.table.services.get(endpoint.service)
        if service is None or found.free_share < FULL_SHARE:
            return False
        return not self.control.ask_health(
            endpoint.address,
            service.health_path,
            ASK_SECONDS,
        )

    def _take(self, endpoint: Endpoint, found: EngineState) -> None:
        self.state.fleet.update_layers(
            endpoint.endpoint_id,
            endpoint.born,
            found.layers,
        )
        now = time.monotonic()
        if self.state.suspects.note_slowdown(endpoint, found.pace, now):
            self.state.log.write(
                'pace',
                endpoint=endpoint.endpoint_id,
                address=endpoint.address,
                pace=found.pace,
            )
        if self.state.suspects.clear(endpoint.endpoint_id):
            self.state.log.write('trusted', endpoint=endpoint.endpoint_id)

    def _suspect(
        self,
        endpoint: Endpoint,
        reason: str,
        *,
        refuses: bool = False,
    ) -> None:
        now = time.monotonic()
        if endpoint.endpoint_id not in self.state.fleet.endpoints:
            return
        is_new = self.state.suspects.suspect(
            endpoint,
            reason,
            now,
            refuses=refuses,
        )
        if is_new:
            self.state.count('suspected')
            self.state.log.write(
                'suspected',
                endpoint=endpoint.endpoint_id,
                address=endpoint.address,
                layers=endpoint.layers.describe() if endpoint.layers else '',
                reason=reason,
            )

    def _forget(self) -> None:
        """Forget suspicions of endpoints that are no longer listed."""
        listed = self.state.fleet.endpoints
        for suspicion in self.state.suspects.all():
            endpoint = suspicion.endpoint
            known = listed.get(endpoint.endpoint_id)
            if known is None or known.born != endpoint.born:
                self.state.suspects.remove(endpoint.endpoint_id)
