"""A start without faults yields the recorded orders and chains."""

import msgspec

from wigeonspoke.core.tests.golden_start import GOLDEN_FILE, Round, record


def test_startup_matches_recording():
    assert record() == GOLDEN_FILE.read_text()


def test_startup_ends_with_a_complete_chain_per_domain():
    last = GOLDEN_FILE.read_text().splitlines()[-1]
    round_ = msgspec.json.decode(last, type=Round)
    assert len(round_.chains) == 3
    assert not round_.orders
