"""The capacity page: its formulas, its marks, and that it says what the kept measurements give."""

from __future__ import annotations

import json
import math
import re
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "benchmarks"), str(ROOT / "example")]

import capacity  # noqa: E402
import capacity_model as model  # noqa: E402
import capacity_tables as tables  # noqa: E402
import scale_weighing as weighing  # noqa: E402
import slopes_mesh  # noqa: E402
import slopes_module  # noqa: E402
from capacity_model import Measurements, Range  # noqa: E402
from slopes_results import Sizes  # noqa: E402

from saltcourse.gossip import messages  # noqa: E402
from saltcourse.gossip.codec import Codec, update_size  # noqa: E402
from saltcourse.gossip.settings import PROXY_BYTES_PER_S, Timing  # noqa: E402

MARK = re.compile(r"\([mwa]\)")
NUMBER = r"\d+(?:[.,]\d+)*(?:e-?\d+)?"
FIGURE = re.compile(rf"\b{NUMBER}(?:(?: to |, ){NUMBER})*")  # a range or a list counts as one
CODE_OR_TARGET = re.compile(r"`[^`]*`|\]\([^)]*\)|<!--.*?-->")
SPREAD = (0.9, 1.0, 1.1)
SCALE_KEYS = (
    "control_bytes_per_s_max",
    "control_cpu_share_max",
    "control_memory_mb_max",
    "change_everywhere_s_p99",
    "change_everywhere_s_max",
    "after_cut_agree_s_max",
)


def straight(sizes: tuple[int, ...], intercept: float, slope: float) -> dict[str, Any]:
    """A kept cost whose repetitions differ by a tenth in their slope."""
    return {
        "unit": "ms",
        "per": "thing",
        "sizes": list(sizes),
        "values": [[intercept + factor * slope * size for size in sizes] for factor in SPREAD],
    }


def kept(**slopes: dict[str, Any]) -> Measurements:
    return Measurements({"slopes": slopes})


def mesh_of(messages: float) -> Measurements:
    fleet, crowds = (20, 40, 80), (1, 2, 4)
    more = straight(crowds, 0, 39 * 2.75)
    return kept(
        mesh_sent=straight(fleet, 0, 0.25),
        mesh_sent_crowd=more,
        mesh_messages=straight(fleet, 0, messages),
        mesh_messages_crowd=more,
    )


def near(found: Range, low: float, high: float) -> bool:
    return found.low == pytest.approx(low) and found.high == pytest.approx(high)


# ---- ranges and how they are shown ------------------------------------------------------------------


def test_a_range_keeps_its_ends_apart() -> None:
    value = Range(1.0, 2.0)
    assert near(value + Range(3.0, 4.0), 4.0, 6.0)
    assert near(value * Range(3.0, 4.0), 3.0, 8.0)
    assert near(value * 10, 10.0, 20.0)
    assert near(value / Range(2.0, 4.0), 0.25, 1.0)
    assert (value / Range(0.0, 1.0)).high == math.inf


def test_noise_around_nought_counts_as_nought() -> None:
    assert Range.over([-0.1, 0.2]) == Range(0.0, 0.2)


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0.0, "0"),
        (0.04237, "0.0424"),
        (1.0, "1"),
        (12.345, "12.3"),
        (999.4, "999"),
        (999.9, "1,000"),
        (89_796.0, "89,800"),
        (100.0, "100"),
        (math.inf, "no bound"),
    ],
)
def test_figures_have_three_digits(value: float, text: str) -> None:
    assert model.digits(value) == text


def test_a_figure_carries_its_unit_and_its_mark() -> None:
    assert model.worked(Range(1.0, 2.0), "KB") == "1 to 2 KB (w)"
    assert model.measured(Range(2.0, 2.0001), "KB") == "2 KB (m)"
    assert model.assumed(60, "%") == "60% (a)"
    assert model.worked(3, "/s") == "3/s (w)"


# ---- what was measured ------------------------------------------------------------------------------


def test_a_slope_is_the_span_of_the_repetitions() -> None:
    m = kept(cost=straight((1, 2, 5), 7.0, 10.0))
    assert near(m.slope("cost"), 9.0, 11.0)
    assert near(m.at("cost", 100), 907.0, 1_107.0)
    assert near(m.seen("cost", 5), 52.0, 62.0)
    assert near(m.size_at("cost", 107.0), 100 / 11, 100 / 9)


def test_a_ratio_compares_repetition_by_repetition() -> None:
    m = kept(cost=straight((1, 2, 5), 7.0, 10.0), cost_control=straight((1, 2, 5), 1.0, 2.0))
    assert near(m.ratio("cost"), 5.0, 5.0)


# ---- formulas ---------------------------------------------------------------------------------------


def test_what_falls_to_one_proxy() -> None:
    assert model.connections_per_proxy() == pytest.approx(89_796, abs=1)
    assert model.deliveries_per_proxy() == pytest.approx(20_408, abs=1)
    assert model.largest_topic_per_proxy() == pytest.approx(592, abs=1)


def test_arrivals_follow_from_the_mean_life() -> None:
    assert model.arrivals(3_600.0) == pytest.approx(24.9, abs=0.1)
    assert model.arrivals(36.0) == pytest.approx(100 * model.arrivals(3_600.0))


def test_cores_and_processes() -> None:
    assert near(model.cores(1_000.0, Range(0.5, 2.0)), 0.5, 2.0)
    assert model.processes(Range(0.5, 2.0)) == Range(1, 4)


def test_busy_cores_sum_lines_set_ups_and_standing_still() -> None:
    each = straight((1, 2, 5), 0.0, 1.0)
    m = kept(connection_idle=each, delivery=each, set_up=each)
    assert near(model.busy_cores(m, 1_000, 2_000, 3_000), 5.4, 6.6)


def test_what_a_loss_brings_to_the_others_is_what_was_lost() -> None:
    lost = 98
    left = model.PROXIES - lost
    assert model.returning(lost) * left == pytest.approx(model.connections_per_proxy() * lost)


def test_a_wave_takes_its_work_over_the_spare_cores() -> None:
    assert near(model.time_to_take(1_000.0, Range(1.0, 2.0), 0.5), 2.0, 4.0)


def test_shards_held_are_bounded_by_connections_and_by_shards() -> None:
    assert model.shards_held(1, 100) == pytest.approx(1.0)
    assert model.shards_held(2, 2) == pytest.approx(1.5)
    assert model.shards_held(1e6, 100) == pytest.approx(100.0)


def test_a_whole_table_is_told_in_messages_of_27_pairs() -> None:
    assert model.whole_table_bytes(27) == 27 * 9 + 9 + 28
    assert model.whole_table_bytes(28) == 28 * 9 + 2 * (9 + 28)


def test_the_mesh_grows_with_the_fleet_and_with_new_connections() -> None:
    m = mesh_of(messages=0.0)
    rate = model.CASA_MAIN_RATE
    assert near(model.mesh_at(m, "mesh_sent", 100, rate), 22.5, 27.5)
    assert near(model.mesh_at(m, "mesh_sent", 101, rate + 1), 22.725 + 90, 27.775 + 110)


def test_bytes_of_new_connections_are_at_least_those_of_their_records() -> None:
    m, rate = mesh_of(messages=0.0), model.CASA_MAIN_RATE
    fresh = model.shards_held(model.connections_per_proxy()) / model.connections_per_proxy()
    assert near(model.mesh_sent(m, 101, rate), 22.725, 27.775)
    assert near(model.mesh_sent(m, 101, rate + 1), 22.725 + 100 * 0.018 * fresh, 27.775 + 110)


def test_messages_of_the_mesh_are_bounded_by_its_pace() -> None:
    few, many = mesh_of(messages=5.0), mesh_of(messages=50.0)
    assert near(model.mesh_messages(few, 101, model.CASA_MAIN_RATE), 454.5, 555.5)
    assert model.mesh_messages(many, 101, model.CASA_MAIN_RATE) == Range(2_000.0, 2_000.0)
    crowded = model.mesh_messages(many, 101, 2_744.0)  # 5,488 records a second, 27.4 in a message
    assert near(crowded, 100 * 5_488 * 9 / 247, 100 * 5_488 * 9 / 247)


def test_bytes_of_the_mesh_count_both_ways_and_headers() -> None:
    m = mesh_of(messages=1.0)
    assert near(model.mesh_bytes(m, 100), 2 * 22_500 + 2 * 28 * 90, 2 * 27_500 + 2 * 28 * 110)


def test_the_fleet_at_a_budget() -> None:
    assert model.fleet_at(lambda n: Range(1.0 * n, 2.0 * n), 100.0) == Range(50, 100)


def test_voters() -> None:
    assert [model.majority(n) for n in (3, 5, 7, 8)] == [2, 3, 4, 5]
    assert model.unavailable(1, 0.1) == pytest.approx(0.1)
    assert model.unavailable(3, 0.1) == pytest.approx(3 * 0.01 * 0.9 + 0.001)
    assert model.unavailable(8, 0.01) > model.unavailable(7, 0.01)


def test_swim_costs_grow_with_the_logarithm_alone() -> None:
    assert weighing.retransmissions(490) == weighing.retransmissions(980) == 9
    assert weighing.swim_bytes(980) == weighing.swim_bytes(490)
    assert weighing.relay_bytes(980).low > 1.9 * weighing.relay_bytes(490).low


def encoded(message: messages.Message) -> int:
    return len(Codec(bytes(32)).encode(messages.Header(1, 2, 3), message))


RECORD = messages.MemberRecord("proxy-017-a1", ("10.0.0.1", 7000), "r1", "zone-a", messages.Role.PROXY, 1, 5)
CHANGE = messages.Change(messages.Position(1, 3), (("key/name/abc", bytes(100)),))


@pytest.mark.parametrize(
    ("stated", "message"),
    [
        (weighing.PING, messages.Ping(1, 2)),
        (weighing.ACK, messages.Ack(1)),
        (weighing.GOSSIP, messages.Gossip()),
        (weighing.SYNC, messages.SyncRequest(0, tuple(range(messages.SYNC_BUCKETS)))),
        (weighing.SYNC_REPLY, messages.SyncReply((), False)),
        (weighing.FETCH, messages.Fetch(messages.Position(1, 2))),
        (weighing.TALLY, messages.Tally("zone-a", 8, 720_000)),
        (weighing.QUORUM_MESSAGE, messages.Accepted(1, messages.Position(1, 3))),
        (weighing.CHANGE_OVERHEAD + 100, messages.Changes((CHANGE,))),
    ],
    ids=lambda value: type(value).__name__,
)
def test_stated_message_sizes_are_those_of_the_codec(stated: int, message: messages.Message) -> None:
    assert stated == pytest.approx(encoded(message), abs=2)


def test_stated_update_sizes_are_those_of_the_codec() -> None:
    assert update_size(RECORD) == weighing.MEMBER_UPDATE
    assert update_size(messages.StatusUpdate(1, 2, messages.Status.DEAD)) == weighing.STATUS_UPDATE
    assert update_size(messages.ZoneSum("zone-a", 1, 98, 8_800_000)) == weighing.ZONE_SUM


def test_stated_rates_are_those_of_the_settings() -> None:
    timing = Timing()
    assert timing.probe_interval == timing.tally_interval == timing.heartbeat_interval == 1.0
    assert pytest.approx(timing.gossip_fanout / timing.gossip_interval) == weighing.GOSSIP_RATE
    assert weighing.retransmissions(99) == timing.retransmit_multiplier * 2
    assert weighing.suspicion_seconds(100) == timing.suspicion_multiplier * 2
    assert (timing.sync_interval, timing.sum_interval) == (weighing.SYNC_INTERVAL, weighing.SUM_INTERVAL)
    assert timing.announce_fanout == weighing.ANNOUNCE_FANOUT
    assert weighing.MAX_DATAGRAM_BYTES == messages.MAX_DATAGRAM_BYTES
    assert model.BYTES_BUDGET == PROXY_BYTES_PER_S


def test_a_change_is_fetched_served_and_announced() -> None:
    fetched = (weighing.FETCH + 28) + (weighing.CHANGE_OVERHEAD + 100 + 28)
    announced = 4 * (weighing.GOSSIP + 28)
    assert weighing.change_bytes(100) == 2 * fetched + 2 * announced


# ---- the slopes' own parts --------------------------------------------------------------------------


def test_an_observed_proxy_of_the_mesh_knows_all_others_also_after_its_restart() -> None:
    site = slopes_mesh.ObservedSite(6, 1, seed=1)
    site.net.run(3.0)
    assert set(site.shared_states[0].peers) == set(range(1, 6))
    assert site.received_bytes > 0 < site.sent_bytes()
    site.restart_first()
    site.net.run(6.0)
    assert set(site.shared_states[0].peers) == set(range(1, 6))


def test_the_mesh_gives_every_cost_that_is_kept() -> None:
    sizes = Sizes(fleet_settle=1.0, fleet_seconds=1.0)
    found = slopes_mesh.observe(4, 1, 1, sizes)
    assert set(found) == set(slopes_mesh.UNITS)


def test_a_peers_pairs_and_own_groups_take_memory_by_their_number() -> None:
    assert slopes_module.peer_pairs_kb(400) > 1.5 * slopes_module.peer_pairs_kb(200)
    with_groups = slopes_module.allocated_kb(lambda: slopes_module.balancer_with_connections(200, True))
    assert with_groups > slopes_module.allocated_kb(
        lambda: slopes_module.balancer_with_connections(200, False)
    )


# ---- pages ------------------------------------------------------------------------------------------


@pytest.fixture(scope="module")
def measurements() -> Measurements:
    return Measurements(json.loads(capacity.MEASURED.read_text()))


@pytest.mark.parametrize("page", capacity.PAGES, ids=lambda page: page.name)
def test_the_pages_say_what_the_measurements_give(page: Path) -> None:
    text = page.read_text()
    assert capacity.rendered(text, *capacity.read()) == text, "run: python benchmarks/capacity.py --write"


def test_every_table_and_figure_stands_on_a_page() -> None:
    text = "".join(page.read_text() for page in capacity.PAGES)
    shown = {(kind, name) for _, kind, name, _, _ in capacity.MARKED.findall(text)}
    assert {name for kind, name in shown if kind == "table"} == set(capacity.TABLES)
    assert {name for kind, name in shown if kind == "figure"} == set(capacity.figures(*capacity.read()))


def test_an_unknown_marker_is_an_error(measurements: Measurements) -> None:
    with pytest.raises(capacity.UnknownMarkerError, match="table nonsense"):
        capacity.rendered("<!-- table: nonsense -->\n<!-- end -->", measurements, {})


def unmarked(line: str) -> list[str]:
    """Figures of a table's line behind which no mark comes before the next figure."""
    text = CODE_OR_TARGET.sub("", line)
    found = []
    for cell in text.strip("|").split("|"):
        figures = list(FIGURE.finditer(cell))
        starts = [figure.start() for figure in figures] + [len(cell)]
        found += [
            figure[0]
            for figure, end in zip(figures, starts[1:], strict=True)
            if not MARK.search(cell, figure.end(), end)
        ]
    return found


def table_lines(text: str) -> list[str]:
    return [line for line in text.splitlines() if line.startswith("|")]


@pytest.mark.parametrize("line", ["| 5 KB |", "| 5 KB (m) of 6 |", "| 5 to 6 x |", "| `5` 6 |"])
def test_the_check_of_marks_finds_what_lacks_one(line: str) -> None:
    assert unmarked(line)


@pytest.mark.parametrize("line", ["| 5 KB (m) |", "| 5 to 6 KB (w) at 1,000/s (a) |", "| `x5` | p99 |"])
def test_the_check_of_marks_takes_what_has_one(line: str) -> None:
    assert not unmarked(line)


@pytest.mark.parametrize("page", capacity.PAGES, ids=lambda page: page.name)
def test_every_figure_in_a_table_has_a_mark(page: Path) -> None:
    lines = table_lines(page.read_text())
    assert lines
    assert {line: unmarked(line) for line in lines if unmarked(line)} == {}


def test_the_scale_run_fills_its_columns(measurements: Measurements) -> None:
    sizes = (30, 60, 120, 245, 490, 980)
    scale: dict[str, float | None] = {f"n{size}_{key}": 1.5 for size in sizes for key in SCALE_KEYS}
    scale |= {f"mesh_n{size}_control_bytes_per_s_max": 1_500.0 for size in sizes}
    empty, filled = tables.gossip(measurements, {}), tables.gossip(measurements, scale)
    assert tables.NOT_MEASURED in empty
    assert tables.NOT_MEASURED not in filled
    assert not [figure for line in table_lines(filled) for figure in unmarked(line)]
    unknown = tables.gossip(measurements, scale | {"n490_after_cut_agree_s_max": None})
    assert unknown.count(tables.NOT_MEASURED) == 1
