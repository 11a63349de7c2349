"""Answers that have just begun, and the engines that ended meanwhile.

A part that ends each engine does so when the engine begins to write.  An
engine that ends breaks all its streams, but only those in their beginning can
be the cause.  Whether an engine has ended is known some time after its
streams broke, and a connection breaks for many other reasons.

The answer to a call comes in one piece: any that is complete went well.
"""

from collections.abc import Callable

import msgspec

# An answer has begun well when it has gone on for this long after its first
# event.
BEGINNING_SECONDS = 0.5
# How long after a stream broke the end of its engine may be found.
CONFIRMATION_SECONDS = 6.0
MAX_ANSWERS = 512
MAX_ENDED_ENGINES = 256


class Answer(msgspec.Struct, eq=False):
    """An attempt of a request at the engines of a chain.

    ``engines`` are their starts.  ``sent_at`` is when the request was sent,
    and ``ended_at`` is set when the stream is complete or broken.
    """

    parts: tuple[str, ...]
    engines: frozenset[str]
    sent_at: float = 0
    first_event_at: float | None = None
    ended_at: float | None = None
    has_begun_well: bool = False

    def is_past_beginning(self, now: float) -> bool:
        """Return whether the answer has been written for long enough."""
        return (
            self.first_event_at is not None
            and now - self.first_event_at >= BEGINNING_SECONDS
        )


class BeginningTracker:
    """Joins the answers that broke in their beginning with ended engines.

    ``on_crash`` is called with an answer, the start of the engine that ended
    under it and the time; ``on_sound`` with an answer that went well.
    """

    __slots__ = ('broken', 'complete', 'ended_engines', 'on_crash', 'on_sound')

    def __init__(
        self,
        on_crash: Callable[[Answer, str, float], None],
        on_sound: Callable[[Answer, float], None],
    ) -> None:
        self.on_crash = on_crash
        self.on_sound = on_sound
        self.broken: list[Answer] = []
        self.complete: list[Answer] = []
        # When engines were found to have ended, by start.
        self.ended_engines: dict[str, float] = {}

    def record_event(self, answer: Answer, now: float) -> None:
        """Record an event of an answer."""
        if answer.first_event_at is None:
            answer.first_event_at = now
        elif not answer.has_begun_well and answer.is_past_beginning(now):
            answer.has_begun_well = True
            self.on_sound(answer, now)

    def record_complete(self, answer: Answer, now: float) -> None:
        """Record the regular end of an answer.

        One that was short counts as served well only if its engine has not
        ended right after it.
        """
        answer.ended_at = now
        if not answer.has_begun_well and answer.parts:
            self.complete = [*self.complete, answer][-MAX_ANSWERS:]

    def record_whole(self, answer: Answer, now: float) -> None:
        """Record a complete answer that did not come event by event."""
        answer.ended_at = now
        answer.has_begun_well = True
        if answer.parts:
            self.on_sound(answer, now)

    def record_broken(self, answer: Answer, now: float) -> None:
        """Record that the connection of an answer broke."""
        answer.ended_at = now
        if answer.has_begun_well or not answer.parts:
            return
        ended = answer.engines & self.ended_engines.keys()
        if not ended:
            self.broken = [*self.broken, answer][-MAX_ANSWERS:]
            return
        # An answer breaks once, also if several engines of its chain end.
        engine = min(ended, key=lambda one: (self.ended_engines[one], one))
        self.on_crash(answer, engine, self.ended_engines[engine])

    def record_engine_end(self, engine: str, now: float) -> tuple[Answer, ...]:
        """Record that an engine has ended; return the answers it broke."""
        if engine in self.ended_engines:
            return ()
        self.expire(now)
        self.ended_engines[engine] = now
        while len(self.ended_engines) > MAX_ENDED_ENGINES:
            self.ended_engines.pop(next(iter(self.ended_engines)))
        found = tuple(
            answer
            for answer in (*self.broken, *self.complete)
            if engine in answer.engines
        )
        self.broken = [one for one in self.broken if one not in found]
        self.complete = [one for one in self.complete if one not in found]
        for answer in found:
            self.on_crash(answer, engine, now)
        return found

    def record_engine_alive(self, engine: str, asked_at: float) -> None:
        """Drop the answers that broke before an engine was found alive.

        Those of a chain are kept, because another engine of it may have ended.
        """
        self.broken = [
            answer
            for answer in self.broken
            if engine not in answer.engines
            or len(answer.engines) > 1
            or answer.ended_at > asked_at
        ]

    def has_ended(self, engine: str) -> bool:
        """Return whether an engine is known to have ended."""
        return engine in self.ended_engines

    def expire(self, now: float) -> None:
        """Count short answers as served well, and forget old broken ones."""
        due = [one for one in self.complete if one.is_past_beginning(now)]
        self.complete = [
            one for one in self.complete if not one.is_past_beginning(now)
        ]
        for answer in due:
            if answer.engines.isdisjoint(self.ended_engines):
                answer.has_begun_well = True
                self.on_sound(answer, now)
        oldest = now - CONFIRMATION_SECONDS
        self.broken = [one for one in self.broken if one.ended_at >= oldest]
