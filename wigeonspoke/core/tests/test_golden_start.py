"""The calm start plays back to the same orders and chains."""

import msgspec

from wigeonspoke.core.tests.golden_start import FILE, Moment, record


def test_start_plays_back():
    assert record() == FILE.read_text()


def test_start_ends_with_a_whole_chain_in_each_domain():
    last = FILE.read_text().splitlines()[-1]
    moment = msgspec.json.decode(last, type=Moment)
    assert len(moment.chains) == 3
    assert not moment.orders
