"""An in-memory table and object store with injected faults."""

import msgspec
from returns.result import Failure, Success

from wigeonspoke.store import StoreError, StoreProblem, TableRow


class FakeStore:
    """Implements the ``Table`` and ``ObjectStore`` protocols.

    Each write takes the next of ``write_outcomes``: ``ok``, ``lost`` if the
    write takes effect but its reply is lost, or ``down`` if it fails without
    effect.  Once all are taken, writes succeed.
    """

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.write_outcomes = []
        self.before_write = lambda: None

    def read(self, table, key):
        """Read one row."""
        row = self.rows.get((table, key))
        if row is None:
            return Failure(StoreError(StoreProblem.MISSING, 'read'))
        return Success(row)

    def write(self, table, key, content, expected):
        """Write a row if it has the expected version."""
        self.before_write()
        outcome = self.write_outcomes.pop(0) if self.write_outcomes else 'ok'
        if outcome == 'down':
            return Failure(StoreError(StoreProblem.UNAVAILABLE, 'write'))
        known = self.rows.get((table, key))
        version = known.version if known else 0
        if version != expected:
            return Failure(StoreError(StoreProblem.CONFLICT, 'write', known))
        row = TableRow(key, version + 1, msgspec.Raw(content))
        self.rows[table, key] = row
        if outcome == 'lost':
            return Failure(StoreError(StoreProblem.UNCERTAIN, 'write'))
        return Success(row)

    def get_object(self, name):
        """Read an object."""
        if name in self.objects:
            return Success(self.objects[name])
        return Failure(StoreError(StoreProblem.MISSING, 'get-object'))

    def put_object(self, name, body):
        """Write an object."""
        self.objects[name] = body
        return Success(None)
