"""Generates load with an open or a closed loop of requests."""

import random
import string
import time

import eventlet
import msgspec
from eventlet.greenpool import GreenPool

from wigeonspoke.load.balancer import Balancer
from wigeonspoke.load.caller import Caller, PromptRequest
from wigeonspoke.load.records import AnswerRecord, AnswerResult
from wigeonspoke.observe import LatencyRecorder, Percentiles

MAX_CONCURRENT_REQUESTS = 4096
BOOLEANS = (True, False)


class LoadPlan(msgspec.Struct, frozen=True):
    """The load to generate.

    With ``rate``, requests form an open loop: they start at random intervals,
    on average ``rate`` a second, whether or not earlier ones have ended.
    Otherwise they form closed loops, ``concurrency`` in number, each of which
    sends a request when its last one has ended.
    """

    model: str
    layers: int
    seconds: float
    rate: float = 0
    concurrency: int = 0
    prompt_chars: int = 24
    max_tokens: int = 24
    seed: int = 1


class LoadSummary(msgspec.Struct, frozen=True):
    """The results of one run, as seen by the callers.

    Latencies are measured from the time at which a request was due, which
    avoids coordinated omission: a stalled system can't hide its stall by
    delaying the following requests.
    """

    requests: int
    whole: int
    cut: int
    wrong: int
    refused: int
    failed: int
    tokens: int
    tokens_per_second: float
    first_token_seconds: Percentiles
    answer_seconds: Percentiles


class LoadDriver:
    """Generates the load of a plan and records every answer.

    ``keys`` are the bearer keys of the client accounts, from which each
    request takes one at random.
    """

    __slots__ = (
        'balancer',
        'callers',
        'plan',
        'pool',
        'records',
        'rng',
    )

    def __init__(
        self,
        plan: LoadPlan,
        balancer: Balancer,
        keys: tuple[str, ...],
    ) -> None:
        self.plan = plan
        self.balancer = balancer
        self.callers = [Caller(key) for key in keys]
        self.rng = random.Random(plan.seed)
        self.records: list[AnswerRecord] = []
        self.pool = GreenPool(MAX_CONCURRENT_REQUESTS)

    def run(self) -> None:
        """Send all requests and wait for the last answer."""
        end = time.monotonic() + self.plan.seconds
        if self.plan.rate:
            self._run_open_loop(end)
        else:
            for _ in range(self.plan.concurrency):
                self.pool.spawn(self._run_closed_loop, end)
        self.pool.waitall()

    def summary(self) -> LoadSummary:
        """Return a summary of the recorded answers."""
        records = self.records
        first_token_latencies = LatencyRecorder()
        answer_latencies = LatencyRecorder()
        for answer in records:
            answer_latencies.add(answer.ended - answer.due)
            if answer.first_token is not None:
                first_token_latencies.add(answer.first_token - answer.due)
        tokens = sum(record.tokens for record in records)
        counts = {
            result: sum(1 for record in records if record.result is result)
            for result in AnswerResult
        }
        return LoadSummary(
            requests=len(records),
            whole=counts[AnswerResult.WHOLE],
            cut=counts[AnswerResult.CUT],
            wrong=counts[AnswerResult.WRONG],
            refused=counts[AnswerResult.REFUSED],
            failed=counts[AnswerResult.FAILED],
            tokens=tokens,
            tokens_per_second=tokens / _elapsed_seconds(records),
            first_token_seconds=first_token_latencies.percentiles(),
            answer_seconds=answer_latencies.percentiles(),
        )

    def _run_open_loop(self, end: float) -> None:
        due = time.monotonic()
        while due < end:
            eventlet.sleep(max(0, due - time.monotonic()))
            self.pool.spawn(self._send_request, due)
            due += self.rng.expovariate(self.plan.rate)

    def _run_closed_loop(self, end: float) -> None:
        while time.monotonic() < end:
            self._send_request(time.monotonic())

    def _send_request(self, due: float) -> None:
        caller = self.rng.choice(self.callers)
        node = self.balancer.pick()
        self.records.append(
            caller.request_answer(node, self._make_request(), due)
        )

    def _make_request(self) -> PromptRequest:
        letters = self.rng.choices(
            string.ascii_lowercase,
            k=self.plan.prompt_chars,
        )
        return PromptRequest(
            model=self.plan.model,
            layers=self.plan.layers,
            text=''.join(letters),
            max_tokens=self.plan.max_tokens,
            stream=self.rng.choice(BOOLEANS),
            chat=self.rng.choice(BOOLEANS),
        )


def _elapsed_seconds(records: list[AnswerRecord]) -> float:
    """Return the time from the first start to the last end.

    The result is 1 instead of 0, since it is used as a divisor.
    """
    if not records:
        return 1
    start = min(record.started for record in records)
    return max(record.ended for record in records) - start or 1
