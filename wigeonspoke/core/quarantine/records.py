"""What nodes tell each other of parts, and why a request is refused."""

import msgspec


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """The end of an engine under a part, ``age`` seconds ago."""

    engine: str
    age: float
    companions: tuple[str, ...] = ()


class PartReport(msgspec.Struct, frozen=True, array_like=True):
    """What a node tells others of a part, with ages in seconds.

    ``sound_age`` is the time since an answer with the part went well, and
    ``trial_age`` that since the last trial, or None.  ``failed_trials`` counts
    the trials under which an engine ended.  ``is_confirmed`` is whether the
    part is quarantined.
    """

    part: str
    crashes: tuple[CrashReport, ...] = ()
    sound_age: float | None = None
    trial_age: float | None = None
    failed_trials: int = 0
    is_confirmed: bool = False


class Refusal(msgspec.Struct, frozen=True):
    """Why a request is not sent to any engine.

    ``engines`` are the starts of engines that have ended under ``part``.
    ``retry_after`` is the time in seconds until a request with it may be
    tried; at 0 or less, one is due.
    """

    part: str
    engines: tuple[str, ...]
    last_crash_age: float
    retry_after: float
