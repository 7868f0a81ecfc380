"""Tests of the capacity model, and that the pages contain the figures that follow from the measurements."""

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
FIGURE = re.compile(rf"\b{NUMBER}(?:(?: to |, ){NUMBER})*")  # a range or a list is one figure
CODE_OR_LINK_TARGET = re.compile(r"`[^`]*`|\]\([^)]*\)|<!--.*?-->")
SLOPE_FACTORS = (0.9, 1.0, 1.1)  # of the three repetitions
SCALE_KEYS = (
    "control_bytes_per_s_max",
    "control_cpu_share_max",
    "control_memory_mb_max",
    "change_everywhere_s_p99",
    "change_everywhere_s_max",
    "after_cut_agree_s_max",
)


def linear_cost(sizes: tuple[int, ...], intercept: float, slope: float) -> dict[str, Any]:
    """Return a saved cost with three repetitions, whose slopes differ by a tenth."""
    return {
        "unit": "ms",
        "per": "thing",
        "sizes": list(sizes),
        "values": [[intercept + factor * slope * size for size in sizes] for factor in SLOPE_FACTORS],
    }


def measurements_of(**slopes: dict[str, Any]) -> Measurements:
    return Measurements({"slopes": slopes})


def mesh_measurements(messages: float) -> Measurements:
    """Return measurements in which each proxy adds 0.25 kB/s and ``messages`` messages per second."""
    fleet, rate_multiples = (20, 40, 80), (1, 2, 4)
    cost_by_rate = linear_cost(rate_multiples, 0, 39 * 2.75)
    return measurements_of(
        mesh_sent=linear_cost(fleet, 0, 0.25),
        mesh_sent_crowd=cost_by_rate,
        mesh_messages=linear_cost(fleet, 0, messages),
        mesh_messages_crowd=cost_by_rate,
    )


def is_close(value: Range, low: float, high: float) -> bool:
    return value.low == pytest.approx(low) and value.high == pytest.approx(high)


# ---- ranges and their formatting --------------------------------------------------------------------


def test_range_arithmetic_combines_the_low_and_the_high_ends() -> None:
    value = Range(1.0, 2.0)
    assert is_close(value + Range(3.0, 4.0), 4.0, 6.0)
    assert is_close(value * Range(3.0, 4.0), 3.0, 8.0)
    assert is_close(value * 10, 10.0, 20.0)
    assert is_close(value / Range(2.0, 4.0), 0.25, 1.0)
    assert (value / Range(0.0, 1.0)).high == math.inf


def test_range_over_values_replaces_negative_values_by_zero() -> None:
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
def test_numbers_are_formatted_with_three_significant_digits(value: float, text: str) -> None:
    assert model.format_number(value) == text


def test_figures_are_formatted_with_unit_and_mark() -> None:
    assert model.computed(Range(1.0, 2.0), "KB") == "1 to 2 KB (w)"
    assert model.measured(Range(2.0, 2.0001), "KB") == "2 KB (m)"
    assert model.assumed(60, "%") == "60% (a)"
    assert model.computed(3, "/s") == "3/s (w)"


# ---- measured slopes --------------------------------------------------------------------------------


def test_measurements_return_the_range_over_the_repetitions() -> None:
    m = measurements_of(cost=linear_cost((1, 2, 5), 7.0, 10.0))
    assert is_close(m.slope("cost"), 9.0, 11.0)
    assert is_close(m.at("cost", 100), 907.0, 1_107.0)
    assert is_close(m.measured_at("cost", 5), 52.0, 62.0)
    assert is_close(m.size_at("cost", 107.0), 100 / 11, 100 / 9)


def test_ratio_to_the_control_is_taken_within_each_repetition() -> None:
    m = measurements_of(cost=linear_cost((1, 2, 5), 7.0, 10.0), cost_control=linear_cost((1, 2, 5), 1.0, 2.0))
    assert is_close(m.ratio("cost"), 5.0, 5.0)


# ---- formulas ---------------------------------------------------------------------------------------


def test_load_of_one_proxy() -> None:
    assert model.connections_per_proxy() == pytest.approx(89_796, abs=1)
    assert model.deliveries_per_proxy() == pytest.approx(20_408, abs=1)
    assert model.largest_topic_per_proxy() == pytest.approx(592, abs=1)


def test_arrivals_are_inversely_proportional_to_the_mean_lifetime() -> None:
    assert model.arrivals(3_600.0) == pytest.approx(24.9, abs=0.1)
    assert model.arrivals(36.0) == pytest.approx(100 * model.arrivals(3_600.0))


def test_cores_and_processes() -> None:
    assert is_close(model.cores(1_000.0, Range(0.5, 2.0)), 0.5, 2.0)
    assert model.processes(Range(0.5, 2.0)) == Range(1, 4)


def test_busy_cores_sum_deliveries_set_ups_and_idle_connections() -> None:
    each = linear_cost((1, 2, 5), 0.0, 1.0)
    m = measurements_of(connection_idle=each, delivery=each, set_up=each)
    assert is_close(model.busy_cores(m, 1_000, 2_000, 3_000), 5.4, 6.6)


def test_connections_of_lost_proxies_reconnect_to_the_remaining_ones() -> None:
    lost = 98
    remaining = model.PROXIES - lost
    assert model.reconnects_per_proxy(lost) * remaining == pytest.approx(model.connections_per_proxy() * lost)


def test_set_up_seconds_are_the_cpu_time_divided_by_the_spare_cores() -> None:
    assert is_close(model.set_up_seconds(1_000.0, Range(1.0, 2.0), 0.5), 2.0, 4.0)


def test_shards_held_are_bounded_by_connections_and_by_shards() -> None:
    assert model.shards_held(1, 100) == pytest.approx(1.0)
    assert model.shards_held(2, 2) == pytest.approx(1.5)
    assert model.shards_held(1e6, 100) == pytest.approx(100.0)


def test_full_table_is_sent_in_messages_of_27_pairs() -> None:
    assert model.full_table_bytes(27) == 27 * 9 + 9 + 28
    assert model.full_table_bytes(28) == 28 * 9 + 2 * (9 + 28)


def test_mesh_cost_grows_with_the_fleet_and_with_new_connections() -> None:
    m = mesh_measurements(messages=0.0)
    rate = model.CASA_MAIN_RATE
    assert is_close(model.mesh_at(m, "mesh_sent", 100, rate), 22.5, 27.5)
    assert is_close(model.mesh_at(m, "mesh_sent", 101, rate + 1), 22.725 + 90, 27.775 + 110)


def test_mesh_bytes_of_new_connections_range_from_their_records_to_the_fitted_cost() -> None:
    m, rate = mesh_measurements(messages=0.0), model.CASA_MAIN_RATE
    new_pair_share = model.shards_held(model.connections_per_proxy()) / model.connections_per_proxy()
    assert is_close(model.mesh_sent(m, 101, rate), 22.725, 27.775)
    assert is_close(model.mesh_sent(m, 101, rate + 1), 22.725 + 100 * 0.018 * new_pair_share, 27.775 + 110)


def test_mesh_messages_are_limited_by_the_broadcast_interval() -> None:
    few, many = mesh_measurements(messages=5.0), mesh_measurements(messages=50.0)
    assert is_close(model.mesh_messages(few, 101, model.CASA_MAIN_RATE), 454.5, 555.5)
    assert model.mesh_messages(many, 101, model.CASA_MAIN_RATE) == Range(2_000.0, 2_000.0)
    full_messages = model.mesh_messages(many, 101, 2_744.0)  # 5,488 records per second, 27.4 per message
    assert is_close(full_messages, 100 * 5_488 * 9 / 247, 100 * 5_488 * 9 / 247)


def test_mesh_bytes_count_both_directions_and_headers() -> None:
    m = mesh_measurements(messages=1.0)
    assert is_close(model.mesh_bytes(m, 100), 2 * 22_500 + 2 * 28 * 90, 2 * 27_500 + 2 * 28 * 110)


def test_fleet_size_at_a_budget() -> None:
    assert model.fleet_size_at(lambda n: Range(1.0 * n, 2.0 * n), 100.0) == Range(50, 100)


def test_majority_and_its_unavailability() -> None:
    assert [model.majority(n) for n in (3, 5, 7, 8)] == [2, 3, 4, 5]
    assert model.no_majority_probability(1, 0.1) == pytest.approx(0.1)
    assert model.no_majority_probability(3, 0.1) == pytest.approx(3 * 0.01 * 0.9 + 0.001)
    assert model.no_majority_probability(8, 0.01) > model.no_majority_probability(7, 0.01)


def test_swim_costs_grow_with_the_logarithm_of_the_fleet_size() -> None:
    assert weighing.retransmissions(490) == weighing.retransmissions(980) == 9
    assert weighing.swim_bytes(980) == weighing.swim_bytes(490)
    assert weighing.relay_bytes(980).low > 1.9 * weighing.relay_bytes(490).low


def encoded_size(message: messages.Message) -> int:
    return len(Codec(bytes(32)).encode(messages.Header(1, 2, 3), message))


RECORD = messages.MemberRecord("proxy-017-a1", ("10.0.0.1", 7000), "r1", "zone-a", messages.Role.PROXY, 1, 5)
CHANGE = messages.Change(messages.Position(1, 3), (("key/name/abc", bytes(100)),))


@pytest.mark.parametrize(
    ("stated", "message"),
    [
        (weighing.PING_BYTES, messages.Ping(1, 2)),
        (weighing.ACK_BYTES, messages.Ack(1)),
        (weighing.GOSSIP_BYTES, messages.Gossip()),
        (weighing.SYNC_BYTES, messages.SyncRequest(0, tuple(range(messages.SYNC_BUCKETS)))),
        (weighing.SYNC_REPLY_BYTES, messages.SyncReply((), False)),
        (weighing.FETCH_BYTES, messages.Fetch(messages.Position(1, 2))),
        (weighing.TALLY_BYTES, messages.Tally("zone-a", 8, 720_000)),
        (weighing.QUORUM_MESSAGE_BYTES, messages.Accepted(1, messages.Position(1, 3))),
        (weighing.CHANGE_OVERHEAD_BYTES + 100, messages.Changes((CHANGE,))),
    ],
    ids=lambda value: type(value).__name__,
)
def test_message_sizes_of_the_model_match_the_codec(stated: int, message: messages.Message) -> None:
    assert stated == pytest.approx(encoded_size(message), abs=2)


def test_update_sizes_of_the_model_match_the_codec() -> None:
    assert update_size(RECORD) == weighing.MEMBER_UPDATE_BYTES
    assert update_size(messages.StatusUpdate(1, 2, messages.Status.DEAD)) == weighing.STATUS_UPDATE_BYTES
    assert update_size(messages.ZoneSum("zone-a", 1, 98, 8_800_000)) == weighing.ZONE_SUM_BYTES


def test_rates_of_the_model_match_the_gossip_settings() -> None:
    timing = Timing()
    assert timing.probe_interval == timing.tally_interval == timing.heartbeat_interval == 1.0
    assert pytest.approx(timing.gossip_fanout / timing.gossip_interval) == weighing.GOSSIP_RATE
    assert weighing.retransmissions(99) == timing.retransmit_multiplier * 2
    assert weighing.suspicion_seconds(100) == timing.suspicion_multiplier * 2
    assert (timing.sync_interval, timing.sum_interval) == (weighing.SYNC_INTERVAL, weighing.SUM_INTERVAL)
    assert timing.announce_fanout == weighing.ANNOUNCE_FANOUT
    assert weighing.MAX_DATAGRAM_BYTES == messages.MAX_DATAGRAM_BYTES
    assert model.BYTES_BUDGET == PROXY_BYTES_PER_S


def test_change_bytes_sum_fetching_serving_and_announcing() -> None:
    fetched = (weighing.FETCH_BYTES + 28) + (weighing.CHANGE_OVERHEAD_BYTES + 100 + 28)
    announced = 4 * (weighing.GOSSIP_BYTES + 28)
    assert weighing.change_bytes(100) == 2 * fetched + 2 * announced


# ---- parts of the slope benchmarks ------------------------------------------------------------------


def test_observed_proxy_knows_all_peers_before_and_after_its_restart() -> None:
    site = slopes_mesh.ObservedSite(6, 1, seed=1)
    site.net.run(3.0)
    assert set(site.shared_states[0].peers) == set(range(1, 6))
    assert site.received_bytes > 0 < site.sent_bytes()
    site.restart_first()
    site.net.run(6.0)
    assert set(site.shared_states[0].peers) == set(range(1, 6))


def test_observe_returns_every_cost_in_units() -> None:
    sizes = Sizes(fleet_settle=1.0, fleet_seconds=1.0)
    costs = slopes_mesh.observe(4, 1, 1, sizes)
    assert set(costs) == set(slopes_mesh.UNITS)


def test_memory_grows_with_peer_pairs_and_with_groups() -> None:
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
def test_pages_contain_the_figures_that_follow_from_the_measurements(page: Path) -> None:
    text = page.read_text()
    assert capacity.render(text, *capacity.read_measurements()) == text, (
        "run: python benchmarks/capacity.py --write"
    )


def test_every_table_and_figure_is_on_a_page() -> None:
    text = "".join(page.read_text() for page in capacity.PAGES)
    shown = {(kind, name) for _, kind, name, _, _ in capacity.MARKED.findall(text)}
    assert {name for kind, name in shown if kind == "table"} == set(capacity.TABLES)
    assert {name for kind, name in shown if kind == "figure"} == set(
        capacity.figures(*capacity.read_measurements())
    )


def test_unknown_marker_raises_an_error(measurements: Measurements) -> None:
    with pytest.raises(capacity.UnknownMarkerError, match="table nonsense"):
        capacity.render("<!-- table: nonsense -->\n<!-- end -->", measurements, {})


def unmarked(line: str) -> list[str]:
    """Return the figures of a table row that have no mark before the next figure or the end of the cell."""
    text = CODE_OR_LINK_TARGET.sub("", line)
    without_mark = []
    for cell in text.strip("|").split("|"):
        figures = list(FIGURE.finditer(cell))
        starts = [figure.start() for figure in figures] + [len(cell)]
        without_mark += [
            figure[0]
            for figure, end in zip(figures, starts[1:], strict=True)
            if not MARK.search(cell, figure.end(), end)
        ]
    return without_mark


def table_lines(text: str) -> list[str]:
    return [line for line in text.splitlines() if line.startswith("|")]


@pytest.mark.parametrize("line", ["| 5 KB |", "| 5 KB (m) of 6 |", "| 5 to 6 x |", "| `5` 6 |"])
def test_unmarked_returns_figures_without_a_mark(line: str) -> None:
    assert unmarked(line)


@pytest.mark.parametrize("line", ["| 5 KB (m) |", "| 5 to 6 KB (w) at 1,000/s (a) |", "| `x5` | p99 |"])
def test_unmarked_accepts_figures_with_a_mark(line: str) -> None:
    assert not unmarked(line)


@pytest.mark.parametrize("page", capacity.PAGES, ids=lambda page: page.name)
def test_every_figure_in_a_table_has_a_mark(page: Path) -> None:
    lines = table_lines(page.read_text())
    assert lines
    assert {line: unmarked(line) for line in lines if unmarked(line)} == {}


def test_results_of_the_scale_run_fill_their_columns(measurements: Measurements) -> None:
    sizes = (30, 60, 120, 245, 490, 980)
    scale: dict[str, float | None] = {f"n{size}_{key}": 1.5 for size in sizes for key in SCALE_KEYS}
    scale |= {f"mesh_n{size}_control_bytes_per_s_max": 1_500.0 for size in sizes}
    without_run, with_run = tables.gossip(measurements, {}), tables.gossip(measurements, scale)
    assert tables.NOT_MEASURED in without_run
    assert tables.NOT_MEASURED not in with_run
    assert not [figure for line in table_lines(with_run) for figure in unmarked(line)]
    one_missing = tables.gossip(measurements, scale | {"n490_after_cut_agree_s_max": None})
    assert one_missing.count(tables.NOT_MEASURED) == 1
