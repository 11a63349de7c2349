"""What a stream asks of its chain, from its headers and its rule."""

from wigeonspoke.core.chains import RequestDemand, expected_answer_tokens
from wigeonspoke.core.fleet import EngineSpeeds
from wigeonspoke.ingress.requests.request_handler import RequestContext


def build_demand(
    context: RequestContext,
    speeds: EngineSpeeds,
    now: float,
    *,
    yields: bool = False,
) -> RequestDemand:
    """Return the demand of a request, with the time that it has left.

    ``yields`` is to be set if ranks differ and one that is more urgent than
    that of the request is in use.  No caller sets it yet.
    """
    request = context.request
    rule = context.rule
    return RequestDemand(
        prompt_tokens=request.prompt_tokens or int(speeds.prompt_tokens),
        output_tokens=expected_answer_tokens(
            request.output_tokens, request.length_hint, speeds.answer_tokens
        ),
        target_latency_seconds=(
            context.arrived_at + rule.target_latency_seconds - now
        ),
        target_event_gap_seconds=rule.target_event_gap_seconds,
        parts=request.prompt_parts,
        yields=yields,
    )
