"""Runs the actions of the core and feeds their results back as events."""

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
from wigeonspoke.node.claim_store import ClaimStore
from wigeonspoke.node.step_batcher import StepBatcher
from wigeonspoke.observe import Timeline
from wigeonspoke.transport import HttpReply

TIMER_SECONDS = 0.05


class PendingCall:
    """The state of a service call in progress.

    ``reply`` is the reply of the last attempt.  ``queue`` receives the
    :class:`FinishCall` action that ends the call.
    """

    __slots__ = ('queue', 'reply', 'request')

    def __init__(self, request: ServiceRequest) -> None:
        self.request = request
        self.reply: HttpReply | None = None
        self.queue: LightQueue = LightQueue()


class Runtime:
    """Connects the core, which performs no I/O, to the network.

    :meth:`dispatch` handles an event without yielding to other greenlets, so
    that the core handles one event at a time.  Every operation that blocks
    runs in its own greenlet.
    """

    __slots__ = (
        'action_handlers',
        'claim_store',
        'engine',
        'pending_calls',
        'response_queues',
        'router',
        'service',
        'step_batchers',
        'timeline',
    )

    def __init__(
        self,
        router: Router,
        engine: EngineClient,
        service: ServiceClient,
        claim_store: ClaimStore,
        timeline: Timeline,
    ) -> None:
        self.router = router
        self.engine = engine
        self.service = service
        self.claim_store = claim_store
        self.timeline = timeline
        self.step_batchers: dict[str, StepBatcher] = {}
        self.response_queues: dict[str, LightQueue] = {}
        self.pending_calls: dict[str, PendingCall] = {}
        self.action_handlers: dict[type, Callable[..., None]] = {
            actions.SendStep: self._send_step,
            actions.CancelStream: self._cancel_stream,
            actions.EmitToken: self._queue_response_part,
            actions.FinishGeneration: self._queue_response_part,
            actions.SendCall: self._send_call,
            actions.FinishCall: self._finish_call,
            actions.InsertClaim: self._insert_claim,
            actions.ReadClaim: self._read_claim,
            actions.ReleaseClaim: self._release_claim,
            actions.RecordOutcome: self._record_outcome,
            actions.ProbeEndpoint: self._start_probe,
            actions.Note: self._note,
        }

    @property
    def view(self) -> ClusterView:
        """The router's view of the cluster."""
        return self.router.view

    def dispatch(self, event: events.AnyEvent) -> None:
        """Handle an event and run the resulting actions."""
        for action in self.router.handle(event, time.monotonic()):
            self.action_handlers[type(action)](action)

    def start_generation(self, event: events.GenerationRequested) -> LightQueue:
        """Start a generation and return the queue of its output.

        The queue receives an :class:`EmitToken` for each token and finally a
        :class:`FinishGeneration`.
        """
        queue = LightQueue()
        self.response_queues[event.request_id] = queue
        self.dispatch(event)
        return queue

    def start_call(
        self,
        event: events.CallRequested,
        request: ServiceRequest,
    ) -> PendingCall:
        """Start a service call and return its state."""
        pending = PendingCall(request)
        self.pending_calls[event.request_id] = pending
        self.dispatch(event)
        return pending

    def end_request(self, request_id: str) -> None:
        """Discard a request's answer queue and cancel it if it is open."""
        self.response_queues.pop(request_id, None)
        self.dispatch(events.CallerGone(request_id))

    def fire_timer_forever(self) -> None:
        """Dispatch a timer event at a fixed interval."""
        while True:
            eventlet.sleep(TIMER_SECONDS)
            self.dispatch(events.TimerFired())

    def _queue_response_part(
        self,
        action: actions.EmitToken | actions.FinishGeneration,
    ) -> None:
        queue = self.response_queues.get(action.request_id)
        if queue is not None:
            queue.put(action)

    def _step_batcher(self, endpoint: str) -> StepBatcher:
        batcher = self.step_batchers.get(endpoint)
        if batcher is None:
            state = self.view.registry.endpoints[endpoint]
            model = state.engine.model if state.engine else ''
            batcher = StepBatcher(
                model, state.address, self.engine, self.dispatch
            )
            self.step_batchers[endpoint] = batcher
        return batcher

    def _send_step(self, action: actions.SendStep) -> None:
        self._step_batcher(action.endpoint).submit(action)

    def _cancel_stream(self, action: actions.CancelStream) -> None:
        batcher = self.step_batchers.get(action.endpoint)
        if batcher:
            batcher.cancel(action)

    def _send_call(self, action: actions.SendCall) -> None:
        pending = self.pending_calls[action.request_id]
        state = self.view.registry.endpoints[action.endpoint]
        eventlet.spawn(self._call_service, action, pending, state.address)

    def _call_service(
        self,
        action: actions.SendCall,
        pending: PendingCall,
        address: str,
    ) -> None:
        result = self.service.call(
            address,
            pending.request,
            action.timeout_seconds,
            action.fresh_connection,
        )
        if isinstance(result, Success):
            pending.reply = result.unwrap()
            self.dispatch(_reply_event(action, pending.reply))
            return
        error = result.failure()
        self.dispatch(
            events.CallFailed(
                action.request_id,
                action.attempt,
                action.endpoint,
                error.outcome,
                error.reason,
            ),
        )

    def _finish_call(self, action: actions.FinishCall) -> None:
        pending = self.pending_calls.pop(action.request_id, None)
        if pending:
            pending.queue.put(action)

    def _insert_claim(self, action: actions.InsertClaim) -> None:
        eventlet.spawn(self._insert_claim_row, action)

    def _insert_claim_row(self, action: actions.InsertClaim) -> None:
        self.dispatch(self.claim_store.insert(action.request_id, action.row))

    def _read_claim(self, action: actions.ReadClaim) -> None:
        eventlet.spawn(self._read_claim_row, action)

    def _read_claim_row(self, action: actions.ReadClaim) -> None:
        self.dispatch(
            self.claim_store.read_claim(action.request_id, action.key)
        )

    def _release_claim(self, action: actions.ReleaseClaim) -> None:
        eventlet.spawn(self.claim_store.delete, action.row)

    def _record_outcome(self, action: actions.RecordOutcome) -> None:
        pending = self.pending_calls.get(action.request_id)
        kept_reply = None
        if action.state is ClaimState.DONE and pending and pending.reply:
            kept_reply = KeptReply(
                pending.reply.status,
                pending.reply.content_type,
                pending.reply.body,
            )
        eventlet.spawn(
            self.claim_store.record_outcome,
            action.row,
            action.state,
            kept_reply,
        )

    def _start_probe(self, action: actions.ProbeEndpoint) -> None:
        state = self.view.registry.endpoints[action.endpoint]
        eventlet.spawn(self._probe_endpoint, state)

    def _probe_endpoint(self, state: EndpointState) -> None:
        probe = self.engine.load if state.engine else self.service.probe
        healthy = isinstance(probe(state.address), Success)
        self.dispatch(events.ProbeCompleted(state.name, healthy))

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


def _reply_event(
    action: actions.SendCall,
    reply: HttpReply,
) -> events.CallReplied:
    return events.CallReplied(
        action.request_id,
        action.attempt,
        action.endpoint,
        reply.status,
    )


class RequestIdGenerator:
    """Generates the request ids of one incarnation of a node."""

    __slots__ = ('counter', 'prefix')

    def __init__(self, node: str, incarnation: str) -> None:
        self.prefix = f'{node}-{incarnation}'
        self.counter = 0

    def next_id(self) -> str:
        """Return an id that is unique among the requests of all nodes."""
        self.counter += 1
        return f'{self.prefix}-{self.counter}'
