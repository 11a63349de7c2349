"""Carries out the core's actions and brings it the ends as events."""

import time
from collections.abc import Callable

import eventlet
from eventlet.queue import LightQueue
from loguru import logger
from returns.result import Success

from wigeonspoke.core import actions, events
from wigeonspoke.core.claims import ClaimState, KeptReply
from wigeonspoke.core.router import Router
from wigeonspoke.core.routes import EndpointState
from wigeonspoke.core.view import ClusterView
from wigeonspoke.endpoints import EngineClient, ServiceClient, ServiceRequest
from wigeonspoke.node.claim_writer import ClaimWriter
from wigeonspoke.node.step_lane import StepLane
from wigeonspoke.observe import Timeline
from wigeonspoke.transport import HttpReply

TICK_SECONDS = 0.05


class PendingCall:
    """A service call in progress: its request and its last reply."""

    __slots__ = ('answers', 'reply', 'request')

    def __init__(self, request: ServiceRequest) -> None:
        self.request = request
        self.reply: HttpReply | None = None
        self.answers: LightQueue = LightQueue()


class Runtime:
    """The loop between the core and the sockets.

    :meth:`dispatch` runs the core to its end without yielding, so that the
    core sees one event at a time; everything that waits runs in a greenlet
    of its own.
    """

    __slots__ = (
        'answers',
        'calls',
        'claims',
        'engine',
        'lanes',
        'performers',
        'router',
        'service',
        'timeline',
    )

    def __init__(
        self,
        router: Router,
        engine: EngineClient,
        service: ServiceClient,
        claims: ClaimWriter,
        timeline: Timeline,
    ) -> None:
        self.router = router
        self.engine = engine
        self.service = service
        self.claims = claims
        self.timeline = timeline
        self.lanes: dict[str, StepLane] = {}
        self.answers: dict[str, LightQueue] = {}
        self.calls: dict[str, PendingCall] = {}
        self.performers: dict[type, Callable[..., None]] = {
            actions.SendStep: self._send_step,
            actions.CancelStream: self._cancel_stream,
            actions.EmitToken: self._answer,
            actions.FinishGeneration: self._answer,
            actions.SendCall: self._send_call,
            actions.FinishCall: self._finish_call,
            actions.InsertClaim: self._insert_claim,
            actions.ReadClaim: self._read_claim,
            actions.ReleaseClaim: self._release_claim,
            actions.RecordOutcome: self._keep_outcome,
            actions.ProbeEndpoint: self._probe,
            actions.Note: self._note,
        }

    @property
    def view(self) -> ClusterView:
        """Give what this node knows."""
        return self.router.view

    def dispatch(self, event: events.AnyEvent) -> None:
        """Hand the core an event and carry out its actions."""
        for action in self.router.handle(event, time.monotonic()):
            self.performers[type(action)](action)

    def open_generation(self, event: events.GenerationRequested) -> LightQueue:
        """Start a generation; the queue yields its tokens and its end."""
        answers = LightQueue()
        self.answers[event.request_id] = answers
        self.dispatch(event)
        return answers

    def open_call(
        self,
        event: events.CallRequested,
        request: ServiceRequest,
    ) -> PendingCall:
        """Start a service call."""
        pending = PendingCall(request)
        self.calls[event.request_id] = pending
        self.dispatch(event)
        return pending

    def close(self, request_id: str) -> None:
        """Forget a request; cancel it if it has not ended."""
        self.answers.pop(request_id, None)
        self.dispatch(events.CallerGone(request_id))

    def tick_forever(self) -> None:
        """Tell the core of the time, again and again."""
        while True:
            eventlet.sleep(TICK_SECONDS)
            self.dispatch(events.TimerFired())

    def _answer(
        self,
        action: actions.EmitToken | actions.FinishGeneration,
    ) -> None:
        answers = self.answers.get(action.request_id)
        if answers is not None:
            answers.put(action)

    def _lane(self, endpoint: str) -> StepLane:
        lane = self.lanes.get(endpoint)
        if lane is None:
            state = self.view.registry.endpoints[endpoint]
            model = state.engine.model if state.engine else ''
            lane = StepLane(model, state.address, self.engine, self.dispatch)
            self.lanes[endpoint] = lane
        return lane

    def _send_step(self, action: actions.SendStep) -> None:
        self._lane(action.endpoint).put(action)

    def _cancel_stream(self, action: actions.CancelStream) -> None:
        lane = self.lanes.get(action.endpoint)
        if lane:
            lane.cancel(action)

    def _send_call(self, action: actions.SendCall) -> None:
        pending = self.calls[action.request_id]
        state = self.view.registry.endpoints[action.endpoint]
        eventlet.spawn(self._run_call, action, pending, state.address)

    def _run_call(
        self,
        action: actions.SendCall,
        pending: PendingCall,
        address: str,
    ) -> None:
        answer = self.service.call(
            address,
            pending.request,
            action.timeout_seconds,
            action.fresh_connection,
        )
        if isinstance(answer, Success):
            pending.reply = answer.unwrap()
            self.dispatch(_replied(action, pending.reply))
            return
        error = answer.failure()
        self.dispatch(
            events.CallFailed(
                action.request_id,
                action.try_number,
                action.endpoint,
                error.outcome,
                error.reason,
            ),
        )

    def _finish_call(self, action: actions.FinishCall) -> None:
        pending = self.calls.pop(action.request_id, None)
        if pending:
            pending.answers.put(action)

    def _insert_claim(self, action: actions.InsertClaim) -> None:
        eventlet.spawn(self._run_insert, action)

    def _run_insert(self, action: actions.InsertClaim) -> None:
        self.dispatch(self.claims.insert(action.request_id, action.row))

    def _read_claim(self, action: actions.ReadClaim) -> None:
        eventlet.spawn(self._run_read, action)

    def _run_read(self, action: actions.ReadClaim) -> None:
        self.dispatch(self.claims.look_up(action.request_id, action.key))

    def _release_claim(self, action: actions.ReleaseClaim) -> None:
        eventlet.spawn(self.claims.release, action.row)

    def _keep_outcome(self, action: actions.RecordOutcome) -> None:
        pending = self.calls.get(action.request_id)
        kept = None
        if action.state is ClaimState.DONE and pending and pending.reply:
            kept = KeptReply(
                pending.reply.status,
                pending.reply.content_type,
                pending.reply.body,
            )
        eventlet.spawn(self.claims.keep, action.row, action.state, kept)

    def _probe(self, action: actions.ProbeEndpoint) -> None:
        state = self.view.registry.endpoints[action.endpoint]
        eventlet.spawn(self._run_probe, state)

    def _run_probe(self, state: EndpointState) -> None:
        probe = self.engine.load if state.engine else self.service.probe
        healthy = isinstance(probe(state.address), Success)
        self.dispatch(events.ProbeAnswered(state.name, healthy))

    def _note(self, action: actions.Note) -> None:
        self.timeline.add(
            action.kind,
            action.peer,
            action.request_id,
            action.detail,
        )
        logger.info(
            '{} peer={} request={} {}',
            action.kind,
            action.peer,
            action.request_id,
            action.detail,
        )


def _replied(
    action: actions.SendCall,
    reply: HttpReply,
) -> events.CallReplied:
    return events.CallReplied(
        action.request_id,
        action.try_number,
        action.endpoint,
        reply.status,
    )


class RequestIds:
    """Mints the request ids of one incarnation of a node."""

    __slots__ = ('number', 'prefix')

    def __init__(self, node: str, incarnation: str) -> None:
        self.prefix = f'{node}-{incarnation}'
        self.number = 0

    def mint(self) -> str:
        """Give an id that no other request of any node ever has."""
        self.number += 1
        return f'{self.prefix}-{self.number}'
