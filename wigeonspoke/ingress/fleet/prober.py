"""Probing of engines that may have failed, and of replicas that broke off."""

import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial

import eventlet
from returns.result import Success

from wigeonspoke.core.chains import Chain
from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.ingress.peers.connection_witness import (
    ConnectionWitness,
    Sight,
)
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.ingress.protocols import (
    EngineControl,
    EngineFailure,
    EngineState,
)
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.transport import ReadTimeout, peek

PROBE_TIMEOUT_SECONDS = 0.25
PROBE_ATTEMPTS = 2
PROBE_POLL_SECONDS = 0.005
# An endpoint answers a health check as soon as one of its slots is free.
ANSWER_TIMEOUT_SECONDS = 0.75
# Time until a new connection is looked at again.
SECOND_LOOK_SECONDS = 0.01
MIN_PROBE_INTERVAL_SECONDS = 0.5
ROUND_SECONDS = 0.25
# An engine with a smaller fraction of free memory than this refuses work for
# lack of memory, not because it is shutting down.
FULL_MEMORY_FRACTION = 0.15
# Endpoints that are connected to, to find out whether one that refused a
# connection has ended; each may take PROBE_TIMEOUT_SECONDS.
MAX_CONFIRMING_ENDPOINTS = 4
DETERMINATION_POLL_SECONDS = 0.01
DEFAULT_HEALTH_PATH = '/healthz'
REFUSED = 'refused'
REFUSES_CONNECTIONS = 'refuses connections'


class Prober:
    """Probes the engines of failing chains, and suspected engines again."""

    __slots__ = (
        'control',
        'probed_at',
        'probes',
        'state',
        'undetermined',
        'witness',
    )

    def __init__(self, state: IngressState, control: EngineControl) -> None:
        self.state = state
        self.control = control
        self.probed_at: dict[str, float] = {}
        # The last probe of each engine, by endpoint id.
        self.probes: dict[str, eventlet.greenthread.GreenThread] = {}
        # What is done once it is known that an endpoint is not merely out of
        # reach: kind of action and start id.
        self.undetermined: set[tuple[str, str]] = set()
        # Peers that look at an endpoint which refuses connections, if any.
        self.witness: ConnectionWitness | None = None

    def check_chain(
        self,
        chain: Chain,
        reason: str,
        fault_address: str = '',
    ) -> None:
        """Probe each engine of a chain that was not probed just before.

        If ``fault_address`` is given, only the engine there is probed.
        """
        now = time.monotonic()
        for hop in chain.hops:
            endpoint = hop.endpoint
            if fault_address not in {'', endpoint.address}:
                continue
            if self.state.availability.is_backing_off(endpoint, now):
                continue
            last = self.probed_at.get(endpoint.endpoint_id, 0)
            if now - last >= MIN_PROBE_INTERVAL_SECONDS:
                self.probed_at[endpoint.endpoint_id] = now
                self.probes[endpoint.endpoint_id] = eventlet.spawn(
                    self._probe, endpoint, reason
                )

    def check_after_break(
        self, endpoint: Endpoint, *, is_urgent: bool = False
    ) -> None:
        """Find out whether an endpoint has ended after an answer of it broke.

        It is asked as seldom as in other probes.  A check that would be too
        early is made later, since the endpoint may have ended after the last
        one, or at once if it ``is_urgent``.
        """
        now = time.monotonic()
        if self._is_known(endpoint) or self.state.availability.is_backing_off(
            endpoint, now
        ):
            return
        last = self.probed_at.get(endpoint.endpoint_id, 0)
        wait_seconds = last + MIN_PROBE_INTERVAL_SECONDS - now
        if wait_seconds <= 0 or is_urgent:
            self.probed_at[endpoint.endpoint_id] = now
            self.probes[endpoint.endpoint_id] = eventlet.spawn(
                self._check_connection, endpoint
            )
        elif last <= now:
            self.probed_at[endpoint.endpoint_id] = now + wait_seconds
            eventlet.spawn_after(wait_seconds, self._check_connection, endpoint)

    def record_refused_connection(self, endpoint: Endpoint) -> None:
        """Record that nothing listens at the address of an endpoint."""
        if not self._is_known(endpoint):
            self.probes[endpoint.endpoint_id] = eventlet.spawn(
                self._confirm_end, endpoint, time.monotonic()
            )

    def eject_when_determined(self, endpoint: Endpoint, reason: str) -> None:
        """Record a failed call of a replica that is not out of reach."""
        key = ('eject', endpoint.start_id)
        eject = partial(self._eject, endpoint, reason)
        reachability = self.state.reachability
        if reason == Reason.CONNECT or not reachability.has_peers(
            time.monotonic()
        ):
            self._when_determined('eject', endpoint, eject)
        elif key not in self.undetermined:
            # Whatever cut this node off may have accepted the connection.
            self.undetermined.add(key)
            eventlet.spawn(self._check_and_act, key, endpoint, eject)

    def try_connection(self, endpoint: Endpoint) -> AttemptError | None:
        """Open a connection to an endpoint; return why it failed.

        Whatever ends connections on their way may still accept one and then
        close it, as may an endpoint that is just ending.
        """
        attempt = EndpointAttempt(endpoint.address)
        error = self._open(attempt, endpoint)
        if error is not None:
            return error
        eventlet.sleep(SECOND_LOOK_SECONDS)
        is_open = peek(attempt.sock.fd) is None
        attempt.close()
        if not is_open:
            self.state.record_unreached(endpoint)
            return AttemptError(
                StepError(
                    Outcome.NOT_RUN, Reason.RESET, 'connect', endpoint.address
                )
            )
        self.state.reachability.record_connected(
            endpoint, time.monotonic(), is_answered=False
        )
        return None

    def ask(self, endpoint: Endpoint) -> AttemptError | None:
        """Ask an endpoint for its health; return why it gave no answer.

        Whatever it answers, on a new connection, shows that it is reached.
        """
        self.state.count_event('probe', 'asked')
        attempt = EndpointAttempt(endpoint.address)
        asked_at = time.monotonic()
        error = self._open(attempt, endpoint)
        if error is not None:
            return error
        self._read_health(attempt, endpoint)
        attempt.close()
        if attempt.is_unanswered:
            self.state.record_unanswered(endpoint, asked_at)
            return AttemptError(
                StepError(
                    Outcome.NOT_RUN, Reason.TIMEOUT, 'health', endpoint.address
                )
            )
        reachability = self.state.reachability
        reachability.record_connected(endpoint, attempt.connected_at)
        reachability.record_answered(endpoint, time.monotonic())
        return None

    def look(self, endpoint: Endpoint) -> Sight:
        """Connect to an endpoint for a peer; return what is seen."""
        error = self.try_connection(endpoint)
        if error is None:
            return Sight.ACCEPTS
        return Sight.REFUSES if error.is_refused else Sight.UNCLEAR

    def record_replaced(self, endpoint: Endpoint) -> None:
        """Record that another endpoint answers at the address of this one."""
        if not self.state.part_watch.has_ended(endpoint):
            self._record_end(endpoint, 'address used again')

    def wait_for_probe(self, endpoint: Endpoint) -> None:
        """Wait until the last probe of an engine has ended."""
        probe = self.probes.get(endpoint.endpoint_id)
        while probe is not None and not probe.dead:
            eventlet.sleep(PROBE_POLL_SECONDS)

    def run(self) -> None:
        """Probe suspected engines periodically; never returns."""
        while True:
            eventlet.sleep(ROUND_SECONDS)
            now = time.monotonic()
            self._probe_suspects(now)
            self._forget_unlisted()
            for start_id in self.state.fleet.expire_leaving(now):
                self.state.log.write('leaving-forgotten', endpoint=start_id)

    def _probe_suspects(self, now: float) -> None:
        for suspicion in self.state.suspects.take_due(now):
            if self.state.availability.is_backing_off(suspicion.endpoint, now):
                continue
            reason = REFUSED if suspicion.refuses else 'suspect'
            eventlet.spawn(self._probe, suspicion.endpoint, reason)

    def _probe(self, endpoint: Endpoint, reason: str) -> None:
        """Probe an engine; suspect it only after two failures."""
        if self._is_isolated_from(endpoint):
            return
        self.state.count_event('probe', reason)
        failure = EngineFailure('')
        asked_at = time.monotonic()
        for _ in range(PROBE_ATTEMPTS):
            result = self.control.fetch_state(
                endpoint.address, PROBE_TIMEOUT_SECONDS
            )
            if isinstance(result, Success):
                self._process_state(endpoint, result.unwrap(), reason, asked_at)
                return
            failure = result.failure()
        # New connections tell whether the engine can be reached.  An engine
        # that reports needs none, and each one has a cost at the engine.
        if self.try_connection(endpoint) is None:
            self.state.record_unanswered(endpoint, asked_at)
        if failure.refuses_connections:
            self._confirm_end(endpoint, asked_at)
        self._when_determined(
            'suspect',
            endpoint,
            partial(self._suspect, endpoint, f'{reason}: {failure.problem}'),
        )

    def _open(
        self, attempt: EndpointAttempt, endpoint: Endpoint
    ) -> AttemptError | None:
        """Open the connection of a probe; return why it failed."""
        try:
            attempt.connect(PROBE_TIMEOUT_SECONDS)
        except AttemptError as error:
            attempt.close()
            self.state.record_unreached(endpoint)
            return error
        return None

    def _read_health(
        self, attempt: EndpointAttempt, endpoint: Endpoint
    ) -> None:
        """Send a health check, and wait for the head of its answer."""
        service = self.state.routing_table.services.get(endpoint.service)
        path = DEFAULT_HEALTH_PATH if service is None else service.health_path
        attempt.send('GET', path, (('Host', endpoint.address),), b'')
        with suppress(AttemptError, ReadTimeout):
            attempt.read_head(attempt.sent_at + ANSWER_TIMEOUT_SECONDS)

    def _is_known(self, endpoint: Endpoint) -> bool:
        """Return whether an end is known already, or about to be found out."""
        probe = self.probes.get(endpoint.endpoint_id)
        is_asked = probe is not None and not probe.dead
        return is_asked or self.state.part_watch.has_ended(endpoint)

    def _check_connection(self, endpoint: Endpoint) -> None:
        """Open a connection to an endpoint, which one that ended refuses.

        One that is just ending may still accept it and then close it.
        """
        self.state.count_event('probe', 'broken')
        for _ in range(PROBE_ATTEMPTS):
            if self._accepts_connection(endpoint):
                return

    def _accepts_connection(self, endpoint: Endpoint) -> bool:
        asked_at = time.monotonic()
        error = self.try_connection(endpoint)
        if error is None:
            self.state.part_watch.record_engine_alive(endpoint, asked_at)
        elif error.is_refused:
            self._confirm_end(endpoint, asked_at)
        return error is None

    def _confirm_end(self, endpoint: Endpoint, refused_at: float) -> None:
        """Record the end of an endpoint that has refused a connection.

        The refusal may come from the way there, so that a peer looks, too: one
        of another failure domain that is refused confirms the end, and one
        that connects disproves it.
        """
        testimony = None if self.witness is None else self.witness.ask(endpoint)
        if testimony is None or testimony.sight is Sight.UNCLEAR:
            self._confirm_alone(endpoint, refused_at)
        elif testimony.sight is Sight.ACCEPTS:
            self.state.count_event('failure-ignored', 'witness')
        elif not testimony.is_remote:
            self._confirm_alone(endpoint, refused_at)
        elif not self.state.part_watch.has_ended(endpoint):
            self._record_end(endpoint, REFUSES_CONNECTIONS)

    def _confirm_alone(self, endpoint: Endpoint, refused_at: float) -> None:
        """Record the end of an endpoint without a peer's help.

        This node may be what lost its connectivity, so that the refusal only
        counts if it can connect to another endpoint of the service after it.
        The only endpoint of a failure domain cannot be told from a lost group
        by its failures alone; there the refusal and the other connection have
        to suffice, since further requests would reach replicas meanwhile.
        """
        reachability = self.state.reachability
        others = reachability.others_of_service(endpoint)
        for other in others[:MAX_CONFIRMING_ENDPOINTS]:
            now = time.monotonic()
            if reachability.has_connected_beside(endpoint, refused_at):
                break
            if not self.state.availability.is_backing_off(other, now):
                self.try_connection(other)
        if not reachability.is_only_one_of_group(endpoint):
            self._wait_until_determined(endpoint)
            if self._is_isolated_from(endpoint):
                return
        if reachability.has_connected_beside(
            endpoint, refused_at
        ) and not self.state.part_watch.has_ended(endpoint):
            self._record_end(endpoint, REFUSES_CONNECTIONS)

    def _when_determined(
        self, kind: str, endpoint: Endpoint, action: Callable[[], object]
    ) -> None:
        """Act on a failure unless this node cannot reach the endpoint.

        While that is not known, the action waits; a second one of the same
        kind is left out then.
        """
        key = (kind, endpoint.start_id)
        reachability = self.state.reachability
        if not reachability.is_determining(endpoint, time.monotonic()):
            self._act_if_reached(endpoint, action)
        elif key not in self.undetermined:
            self.undetermined.add(key)
            eventlet.spawn(self._act_later, key, endpoint, action)

    def _check_and_act(
        self,
        key: tuple[str, str],
        endpoint: Endpoint,
        action: Callable[[], object],
    ) -> None:
        """Find out whether an endpoint can be connected to, then act."""
        self.try_connection(endpoint)
        self._act_later(key, endpoint, action)

    def _eject(self, endpoint: Endpoint, reason: str) -> None:
        self.state.replicas.record_failure(endpoint, reason, time.monotonic())

    def _act_later(
        self,
        key: tuple[str, str],
        endpoint: Endpoint,
        action: Callable[[], object],
    ) -> None:
        self._wait_until_determined(endpoint)
        self.undetermined.discard(key)
        self._act_if_reached(endpoint, action)

    def _act_if_reached(
        self, endpoint: Endpoint, action: Callable[[], object]
    ) -> None:
        if self._is_isolated_from(endpoint):
            self.state.count_event('failure-ignored', 'isolated')
        else:
            action()

    def _is_isolated_from(self, endpoint: Endpoint) -> bool:
        return self.state.reachability.is_isolated(
            endpoint.service, endpoint.failure_domain, time.monotonic()
        )

    def _wait_until_determined(self, endpoint: Endpoint) -> None:
        """Wait, for 2 s at most, until isolation is certain or ruled out."""
        reachability = self.state.reachability
        while reachability.is_determining(endpoint, time.monotonic()):
            eventlet.sleep(DETERMINATION_POLL_SECONDS)

    def _record_end(self, endpoint: Endpoint, evidence: str) -> None:
        """Record that this start of an engine has ended.

        An engine that is only silent, or whose connections break, may still
        run.
        """
        self.state.count_event('engine-ended', evidence)
        self.state.part_watch.record_engine_end(endpoint, evidence)

    def _process_state(
        self,
        endpoint: Endpoint,
        engine_state: EngineState,
        reason: str,
        asked_at: float,
    ) -> None:
        """Suspect or trust an engine according to its reported state."""
        if engine_state.born != endpoint.born and endpoint.born:
            self._record_end(endpoint, 'started again')
            self._suspect(endpoint, f'{reason}: engine restarted')
            return
        self.state.part_watch.record_engine_alive(endpoint, asked_at)
        if engine_state.is_leaving:
            self.state.record_leaving(endpoint.start_id, 'report')
        if reason == REFUSED and self._refuses_work(endpoint, engine_state):
            self._suspect(
                endpoint, 'health check refuses new work', refuses=True
            )
        else:
            self._mark_healthy(endpoint, engine_state)

    def _refuses_work(
        self, endpoint: Endpoint, engine_state: EngineState
    ) -> bool:
        """Return whether an engine refuses work despite free memory."""
        service = self.state.routing_table.services.get(endpoint.service)
        if (
            service is None
            or engine_state.free_memory_fraction < FULL_MEMORY_FRACTION
        ):
            return False
        reply = self.control.check_health(
            endpoint.address,
            service.health_path,
            PROBE_TIMEOUT_SECONDS,
        )
        if reply.is_leaving:
            self.state.record_leaving(endpoint.start_id, 'health check')
        return not reply.accepts_work

    def _mark_healthy(
        self, endpoint: Endpoint, engine_state: EngineState
    ) -> None:
        self.state.fleet.update_layers(
            endpoint.endpoint_id,
            endpoint.born,
            engine_state.layers,
        )
        now = time.monotonic()
        limit = engine_state.requests_per_second
        # Reports need not name the limit, so that one without ends none.
        if limit is not None:
            self.state.limits.record_answer(endpoint.start_id, limit, now)
        self.state.reachability.record_answered(endpoint, now)
        if not self.state.reachability.suspends_beliefs(
            endpoint, now
        ) and self.state.suspects.record_slowdown(
            endpoint, engine_state.slowdown, now
        ):
            self.state.log.write(
                'pace',
                endpoint=endpoint.endpoint_id,
                address=endpoint.address,
                pace=engine_state.slowdown,
            )
        if self.state.suspects.clear(endpoint.endpoint_id):
            self.state.queues.wake()
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
            self.state.count_event('suspected')
            self.state.log.write(
                'suspected',
                endpoint=endpoint.endpoint_id,
                address=endpoint.address,
                layers=endpoint.layers.describe() if endpoint.layers else '',
                reason=reason,
            )

    def _forget_unlisted(self) -> None:
        """Remove suspicions of endpoint starts that are no longer listed."""
        listed = self.state.fleet.endpoints
        for endpoint_id in self.probes.keys() - listed.keys():
            self.probes.pop(endpoint_id)
        for endpoint_id in self.probed_at.keys() - listed.keys():
            self.probed_at.pop(endpoint_id)
        for suspicion in self.state.suspects.all():
            endpoint = suspicion.endpoint
            known = listed.get(endpoint.endpoint_id)
            if known is None or known.born != endpoint.born:
                self.state.suspects.remove(endpoint.endpoint_id)
