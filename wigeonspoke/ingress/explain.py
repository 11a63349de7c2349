"""Explanation of where a request would go, served as ``GET /explain``."""

import copy
import http
import time
from collections.abc import Callable
from typing import Any

import msgspec
from werkzeug.datastructures import MultiDict
from werkzeug.wrappers import Request

from wigeonspoke.core.chains import RequestDemand, expected_answer_tokens
from wigeonspoke.core.explanation import (
    ChainExplainer,
    Explanation,
    RankAdmission,
    ReplicaExplainer,
    RequestQuestion,
    ServiceExplanation,
)
from wigeonspoke.core.fleet import EngineProfile
from wigeonspoke.core.routing import ClientAccount, Rule, Target
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.tables.table_copy import TableCopy

EXPLAIN_PATH = '/explain'
JSON_CONTENT_TYPE = ('Content-Type', 'application/json')
AGE_DIGITS = 3


class ExplainApp:
    """WSGI application that explains decisions to operators.

    It works on a copy of what decisions depend on, because some of it is
    changed when it is read: token buckets are refilled, expired limits
    dropped.  ``registry_copy`` is the node's copy of the registry.
    """

    __slots__ = ('registry_copy', 'state')

    def __init__(self, state: IngressState, registry_copy: TableCopy) -> None:
        self.state = state
        self.registry_copy = registry_copy

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> list[bytes]:
        """Answer one question."""
        request = Request(environ)
        status = http.HTTPStatus.OK
        if request.method == 'GET':
            answer: Any = self._answer(request.args)
        else:
            answer = 'the method is not GET'
        if isinstance(answer, str):
            status = http.HTTPStatus.BAD_REQUEST
            answer = {'error': {'message': answer}}
        start_response(f'{status.value} {status.phrase}', [JSON_CONTENT_TYPE])
        return [msgspec.json.encode(answer)]

    def explain(self, question: RequestQuestion, now: float) -> Explanation:
        """Return where a request would go now."""
        table = self.state.routing_table
        settings = self.state.settings
        rule = table.find_rule(question.host, question.path)
        account = self._find_account(question.account)
        explanation = Explanation(
            node=settings.name,
            failure_domain=settings.failure_domain,
            version=table.version,
            refusal=self._find_refusal(rule, account),
            registry_age=self._registry_age(now),
            peer_ages=self._peer_ages(now),
        )
        if explanation.refusal:
            return explanation
        return msgspec.structs.replace(
            explanation,
            rule=rule.name,
            kind=rule.kind,
            rank=_rank(rule, account),
            services=self._explain_services(rule, question, now),
        )

    def _answer(self, fields: MultiDict[str, str]) -> Explanation | str:
        """Return the explanation, or the problem with the question."""
        try:
            question = msgspec.convert(
                fields.to_dict(), RequestQuestion, strict=False
            )
        except msgspec.ValidationError as error:
            return str(error)
        return self.explain(question, time.monotonic())

    def _find_refusal(
        self, rule: Rule | None, account: ClientAccount | None
    ) -> str:
        table = self.state.routing_table
        if table.configuration is None:
            return 'no-configuration'
        if rule is None:
            return 'no-rule'
        needs_account = table.requires_keys and not rule.allows_anonymous
        return 'no-account' if needs_account and account is None else ''

    def _find_account(self, name: str) -> ClientAccount | None:
        for account in self.state.routing_table.accounts.values():
            if account.name == name:
                return account
        return None

    def _explain_services(
        self, rule: Rule, question: RequestQuestion, now: float
    ) -> tuple[ServiceExplanation, ...]:
        total = sum(target.weight for target in rule.targets)
        return tuple(
            self._explain_service(
                rule,
                question,
                Target(target.service, target.weight / total if total else 0),
                now,
            )
            for target in rule.targets
        )

    def _explain_service(
        self, rule: Rule, question: RequestQuestion, target: Target, now: float
    ) -> ServiceExplanation:
        """Explain the choice within a service, whose weight is its share."""
        state = self.state
        service = state.routing_table.services.get(target.service)
        # What holds a method of the state keeps the state itself.
        chains, replicas, reservation = copy.deepcopy(
            (
                state.chains,
                state.replicas,
                state.reservations.get(target.service),
            ),
            {id(state): state},
        )
        if service is None or service.engine is None:
            return ReplicaExplainer(replicas).explain(
                target.service, target.weight, now
            )
        ranks = state.routing_table.ranks
        rank = ranks.rank(target.service, rule, question.account)
        explainer = ChainExplainer(
            chains,
            self._peer_ages(now),
            RankAdmission(
                reservation if ranks.differs(target.service) else None,
                rank,
                state.node_count,
            ),
            _build_demand(rule, question, service.engine),
        )
        return explainer.explain(
            target.service, service.engine, target.weight, now
        )

    def _registry_age(self, now: float) -> float | None:
        if self.registry_copy.version is None:
            return None
        return round(now - self.registry_copy.read_at, AGE_DIGITS)

    def _peer_ages(self, now: float) -> dict[str, float]:
        return {
            node: round(now - peer.received_at, AGE_DIGITS)
            for node, peer in self.state.peers.peers.items()
        }


def _build_demand(
    rule: Rule,
    question: RequestQuestion,
    profile: EngineProfile,
) -> RequestDemand | None:
    """Return the demand of a request, None where times are not estimated.

    Tokens that are not given count with the usual numbers.
    """
    speeds = profile.speeds
    if speeds is None:
        return None
    return RequestDemand(
        prompt_tokens=question.prompt_tokens or int(speeds.prompt_tokens),
        output_tokens=expected_answer_tokens(
            question.output_tokens, 0, speeds.answer_tokens
        ),
        target_latency_seconds=rule.target_latency_seconds,
        target_event_gap_seconds=rule.target_event_gap_seconds,
    )


def _rank(rule: Rule, account: ClientAccount | None) -> int:
    if account is None or account.priority is None:
        return rule.priority
    return account.priority
