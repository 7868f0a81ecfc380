"""The scale run: its scenario file, its arithmetic, its judge with broken records, and one small run."""

from __future__ import annotations

import math
import multiprocessing
import threading
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest

from saltcourse.config import ConfigError
from saltcourse.emulator.scale.connections import ConnectionChurn
from saltcourse.emulator.scale.evaluation.evaluate import evaluate
from saltcourse.emulator.scale.evaluation.metrics import slowest_recovery
from saltcourse.emulator.scale.evaluation.recovery import true_view
from saltcourse.emulator.scale.gossip import change_writes, changes_of, configuration_digest, is_torn
from saltcourse.emulator.scale.history import History
from saltcourse.emulator.scale.mechanisms import GOSSIP, MESH
from saltcourse.emulator.scale.operator import RESULT_TIMEOUT, Operator
from saltcourse.emulator.scale.records import (
    ChangeSubmitted,
    ConfigurationSeen,
    Confirmed,
    FreshnessSeen,
    Lifecycle,
    Load,
    Record,
    RecordError,
    StatusSeen,
    View,
    decode,
    encode,
    read_records,
)
from saltcourse.emulator.scale.report import flat_metrics, table
from saltcourse.emulator.scale.runner import RunError, RunPlan, play
from saltcourse.emulator.scale.safety import BreachKind, find_breaches
from saltcourse.emulator.scale.scenario import (
    Arrivals,
    Burst,
    Kill,
    Phase,
    PublisherLost,
    RackOutage,
    RegionPartition,
    RollingReplacement,
    Scenario,
    StopResume,
    ZoneOutage,
)
from saltcourse.emulator.scale.scenario_file import read_scenario
from saltcourse.emulator.scale.sockets import Paths
from saltcourse.emulator.scale.summary import growth_exponent, percentile, window_means
from saltcourse.emulator.scale.timeline import (
    Act,
    PhaseSpan,
    Publication,
    PublicationKind,
    Timeline,
    build_timeline,
)
from saltcourse.emulator.scale.topology import Topology, build_topology
from saltcourse.emulator.scale.worker_messages import NOT_PUBLISHER, Publish, PublishResult
from saltcourse.gossip.messages import Role, Status

SCENARIOS = Path(__file__).parents[2] / "benchmarks" / "scenarios"
SMALL = """
size: 6
region { name: "west" zone: "w1" zone: "w2" }
region { name: "east" zone: "e1" }
links {
  in_zone { most_delay_ms: 1 }
  in_region { least_delay_ms: 1 most_delay_ms: 2 loss: 0.01 }
  between_regions { least_delay_ms: 30 most_delay_ms: 40 loss: 0.02 }
}
machines { members_per_machine: 1 machines_per_rack: 2 }
control { members: 4 voters: 3 }
arrivals { connections_per_s: 2 life_s: 10 servers_per_proxy: 2 groups_per_server: 3 }
settle_s: 1
phase { name: "ordinary" seconds: 10 changes_per_s: 0.5 }
phase {
  name: "faults" seconds: 30
  fault { at_s: 1 kill { machines: 1 } }
  fault { at_s: 2 cut_regions { seconds: 8 conflicting_change: true } }
}
"""


def scenario_of(text: str, folder: Path) -> Scenario:
    path = folder / "test.txtpb"
    path.write_text(text)
    return read_scenario(path)


@pytest.fixture
def scenario(tmp_path: Path) -> Scenario:
    return scenario_of(SMALL, tmp_path)


@pytest.fixture
def topology(scenario: Scenario) -> Topology:
    return build_topology(scenario, 6)


# ---- the scenario file ------------------------------------------------------------------------------


@pytest.mark.parametrize("name", ["ordinary", "quick", "faults", "slope"])
def test_the_kept_scenarios_are_read(name: str) -> None:
    scenario = read_scenario(SCENARIOS / f"{name}.txtpb")
    assert (scenario.control_members, scenario.voters) == (8, 5)
    assert len({zone.region for zone in scenario.zones}) == 2 and len(scenario.zones) == 5


def test_the_kept_scenarios_have_each_kind_of_fault_and_quick_fits_its_time() -> None:
    ordinary = read_scenario(SCENARIOS / "ordinary.txtpb")
    kinds = {type(fault) for phase in ordinary.phases for fault in phase.faults}
    assert kinds == {
        Kill,
        StopResume,
        RollingReplacement,
        RackOutage,
        ZoneOutage,
        RegionPartition,
        PublisherLost,
        Burst,
    }
    assert ordinary.sizes == (30, 60, 120, 245, 490, 980)
    assert [f.seconds for p in ordinary.phases for f in p.faults if isinstance(f, RegionPartition)] == [120.0]
    quick = read_scenario(SCENARIOS / "quick.txtpb")
    assert quick.sizes == (30, 60, 120) and quick.sizes_at_once
    assert quick.seconds <= 33


@pytest.mark.parametrize(
    ("wrong", "right", "line", "said"),
    [
        ("size: 6", "size: 1", 2, "size[0]: must be from 2 to 2000, not 1"),
        ("size: 6", "", 1, "size: missing"),
        ("size: 6", "sizes: 6", 2, "no field named"),
        ('zone: "e1"', 'zone: "w1"', 4, "region[1].zone[0]: 'w1' stands twice"),
        ('zone: "e1"', "", 4, "region[1].zone: missing"),
        ('name: "east"', 'name: "a-region-of-a-long-name"', 4, "region[1].name: from 1 to 16 bytes"),
        (
            "most_delay_ms: 1 }",
            "most_delay_ms: -1 }",
            6,
            "links.in_zone.most_delay_ms: must be from 0 to 1000",
        ),
        ("loss: 0.02", "loss: 1", 8, "links.between_regions.loss: must be from 0 to 0.9, not 1"),
        ("voters: 3", "voters: 5", 11, "control.voters: must be from 1 to 4, not 5"),
        ("life_s: 10", "life_s: nan", 12, "arrivals.life_s: must be from 0.1 to 86400, not nan"),
        ('"ordinary"', '"Ordinary day"', 14, "phase[0].name: small letters"),
        ('name: "faults"', 'name: "ordinary"', 16, "phase[1].name: 'ordinary' stands twice"),
        ("kill { machines: 1 }", "", 17, "phase[1].fault[0]: what fails?"),
        ("seconds: 8", "seconds: 29", 18, "phase[1].fault[1].cut_regions.seconds: must be from 0.1 to 28"),
        (
            "kill { machines: 1 }",
            "burst { changes: 0 }",
            17,
            "phase[1].fault[0].burst.changes: must be from 1",
        ),
    ],
)
def test_a_wrong_scenario_names_line_and_key(
    tmp_path: Path, wrong: str, right: str, line: int, said: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        scenario_of(SMALL.replace(wrong, right, 1), tmp_path)
    assert str(caught.value).startswith(f"{tmp_path}/test.txtpb:{line}: ")
    assert said in str(caught.value)


def test_a_scenario_that_is_not_there_is_told(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="nothing.txtpb: No such file"):
        read_scenario(tmp_path / "nothing.txtpb")


# ---- who stands where, and what befalls whom ---------------------------------------------------------


def test_the_voters_stand_in_different_zones(scenario: Scenario) -> None:
    ordinary = read_scenario(SCENARIOS / "ordinary.txtpb")
    topology = build_topology(ordinary, 490, real=8)
    assert len({voter.zone for voter in topology.voters}) == 5
    assert len(topology.proxies) == 490 and len(topology.real) == 8 and len(topology.places) == 506
    assert [place.index for place in topology.places] == list(range(506))
    assert max(Counter(place.rack for place in topology.proxies).values()) == 10
    assert all(len({p.zone for p in rack}) == 1 for rack in topology.racks().values())
    assert not set(topology.real) & {p for machine in topology.machines().values() for p in machine}


def test_one_seed_gives_one_timeline(scenario: Scenario, topology: Topology) -> None:
    assert build_timeline(scenario, topology, 1) == build_timeline(scenario, topology, 1)
    assert build_timeline(scenario, topology, 1) != build_timeline(scenario, topology, 2)


def test_the_timeline_follows_the_scenario(scenario: Scenario, topology: Topology) -> None:
    timeline = build_timeline(scenario, topology, 1)
    assert timeline.spans == (PhaseSpan("ordinary", 1.0, 11.0, True), PhaseSpan("faults", 11.0, 41.0, False))
    acts = [(command.at, command.act) for command in timeline.commands if command.act is not Act.START]
    assert acts == [(12.0, Act.KILL), (13.0, Act.PARTITION), (21.0, Act.HEAL)]
    started = [index for c in timeline.commands if c.act is Act.START for index in c.members]
    assert sorted(started) == list(range(10))
    assert [p.kind for p in timeline.publications].count(PublicationKind.CONFLICT) == 1
    assert [p.at for p in timeline.publications[:5]] == [2.0, 4.0, 6.0, 8.0, 10.0]


def test_a_zone_outage_takes_all_members_of_one_zone(scenario: Scenario, topology: Topology) -> None:
    phase = Phase("zone", 20.0, 0.0, (ZoneOutage(2.0, 5.0),))
    timeline = build_timeline(replace(scenario, phases=(phase,)), topology, 3)
    killed = next(command for command in timeline.commands if command.act is Act.KILL)
    zones = {topology.places[index].zone for index in killed.members}
    assert len(zones) == 1
    assert set(killed.members) == {p.index for p in topology.places if p.zone in zones}
    again = timeline.commands[-1]
    assert (again.act, again.at, again.members) == (Act.START, 8.0, killed.members)


def test_paths_delay_lose_and_cut_by_zone(scenario: Scenario, topology: Topology) -> None:
    addresses = tuple(("127.0.0.1", 1000 + place.index) for place in topology.places)
    paths = Paths(scenario, topology.places, addresses, Random(1))
    far = next(place for place in topology.places if place.region == "east")
    drawn = [paths.delay("w1", addresses[far.index]) for _ in range(5000)]
    delays = [delay for delay in drawn if delay is not None]
    assert min(delays) >= 0.030 and max(delays) <= 0.040
    assert 0.01 < drawn.count(None) / len(drawn) < 0.03
    near = next(place for place in topology.places if place.zone == "w2")
    paths.partitioned = True
    assert not paths.open("w1", addresses[far.index])
    assert paths.open("w1", addresses[near.index]) and paths.open("e1", addresses[far.index])
    assert paths.delay("w1", ("127.0.0.1", 9)) is None  # a stranger


def test_connections_come_and_end_at_their_pace() -> None:
    lives = ConnectionChurn(Arrivals(2.0, 10.0, 1.0, 1), Random(5))
    assert len(lives.start(0.0)) == 20
    begun = sum(len(lives.begun(now / 10)) for now in range(2000))
    assert 300 < begun < 500
    lives.ended(200.0)
    assert 5 < len(lives) < 45


# ---- the operator ------------------------------------------------------------------------------------


class Voters:
    """What the operator sends and records."""

    def __init__(self, topology: Topology, publications: tuple[Publication, ...]) -> None:
        self.orders: list[Publish] = []
        self.records: list[Record] = []
        timeline = Timeline((PhaseSpan("p", 0, 100, True),), (), publications)
        self.operator = Operator(topology, timeline, self.orders.append, self.records.append, "east")


def test_the_operator_asks_another_voter_after_a_failure_and_stays_with_it(topology: Topology) -> None:
    voters = Voters(
        topology, (Publication(1.0, PublicationKind.CHANGE), Publication(9.0, PublicationKind.CHANGE))
    )
    voters.operator.advance(0.5)
    assert not voters.orders
    voters.operator.advance(1.0)
    voters.operator.result_received(1.1, PublishResult(0, 0, "NO_MAJORITY"))
    voters.operator.advance(1.5)
    voters.operator.result_received(1.6, PublishResult(0, 1, "", 4, 1))
    voters.operator.advance(9.0)
    assert [(order.change, order.member) for order in voters.orders] == [(0, 0), (0, 1), (1, 1)]
    assert Confirmed(1.6, 0, 1, 4, 1) in voters.records


def test_the_operator_does_not_wait_for_ever(topology: Topology) -> None:
    voters = Voters(topology, (Publication(1.0, PublicationKind.CHANGE),))
    now = 1.0
    while now < 100:
        voters.operator.advance(now)
        now += 0.1
    assert 8 <= len(voters.orders) <= 13  # each RESULT_TIMEOUT, until it gives up
    assert RESULT_TIMEOUT == 5.0


def test_a_publisher_is_lost_once_and_its_change_goes_on(topology: Topology) -> None:
    voters = Voters(topology, (Publication(1.0, PublicationKind.LOSE_PUBLISHER, 0.01, 2.0),))
    voters.operator.advance(1.0)
    voters.operator.result_received(1.0, PublishResult(0, 0, NOT_PUBLISHER))
    voters.operator.advance(1.5)
    voters.operator.result_received(1.6, PublishResult(0, 1, "the member is down"))
    voters.operator.advance(2.0)
    assert [(order.member, order.kill_after) for order in voters.orders] == [(0, 0.01), (1, 0.01), (2, None)]


def test_a_conflicting_change_goes_to_the_smaller_side_and_is_not_tried_again(topology: Topology) -> None:
    voters = Voters(topology, (Publication(1.0, PublicationKind.CONFLICT),))
    voters.operator.advance(1.0)
    voters.operator.result_received(1.6, PublishResult(0, voters.orders[0].member, "NO_MAJORITY"))
    voters.operator.advance(5.0)
    assert [topology.places[order.member].region for order in voters.orders] == ["east"]


# ---- arithmetic --------------------------------------------------------------------------------------


def test_percentiles() -> None:
    values = [float(number) for number in range(1, 101)]
    assert (percentile(values, 0.5), percentile(values, 0.99), percentile(values, 1.0)) == (50.0, 99.0, 100.0)
    assert percentile([7.0], 0.5) == 7.0
    with pytest.raises(ValueError):
        percentile([], 0.5)


def test_growth_exponents() -> None:
    assert growth_exponent({30: 7.0, 60: 7.0, 120: 7.0}) == pytest.approx(0.0)
    assert growth_exponent({30: 30.0, 60: 60.0, 120: 120.0}) == pytest.approx(1.0)
    assert growth_exponent({10: 100.0, 100: 10_000.0}) == pytest.approx(2.0)
    assert growth_exponent({30: 7.0}) is None and growth_exponent({30: 7.0, 60: 0.0}) is None


def test_windows_slide() -> None:
    assert window_means([0.0, 0.0, 9.0, 0.0], 3) == [3.0, 3.0]
    assert window_means([2.0, 4.0], 10) == [3.0]
    assert window_means([], 10) == []


# ---- records -----------------------------------------------------------------------------------------


def test_records_survive_the_file(tmp_path: Path) -> None:
    records: list[Record] = [
        Load(1.0, 3, 10, 20, 0.5),
        ConfigurationSeen(2.0, 1, 4, 5, 6, [7], []),
        Lifecycle(0.0, -1, "cut"),
    ]
    path = tmp_path / "records"
    path.write_text("".join(encode(record) for record in records) + '["Load", 1')
    assert list(read_records([path])) == records


@pytest.mark.parametrize(
    "line", ["", "{}", "[]", '["Load"]', '["Nothing", 1]', "[1, 2]", '["Load", 1, 2, 3, 4, 5, 6]']
)
def test_what_is_no_record_is_told(line: str) -> None:
    with pytest.raises(RecordError):
        decode(line + "\n")


def seen(
    at: float, member: int, epoch: int, version: int, digest: int = 0, torn: tuple[int, ...] = ()
) -> Record:
    return ConfigurationSeen(at, member, epoch, version, digest, [version], list(torn))


SOUND = [
    seen(1, 0, 1, 1, 11),
    seen(2, 0, 1, 2, 12),
    seen(3, 0, 6, 3, 13),
    seen(1.5, 1, 1, 1, 11),
    seen(3.5, 1, 6, 3, 13),
    Lifecycle(4, 1, "kill"),
    Lifecycle(5, 1, "start"),
    seen(6, 1, 1, 2, 12),
    seen(7, 1, 6, 3, 13),
    Confirmed(3.1, 3, 0, 6, 3),
]


def test_sound_records_show_no_breach() -> None:
    assert find_breaches(SOUND) == []
    assert find_breaches(reversed(SOUND)) == []


@pytest.mark.parametrize(
    ("broken", "kind"),
    [
        (seen(8, 0, 1, 2, 12), BreachKind.WENT_BACK),
        (seen(8, 0, 6, 3, 13), BreachKind.WENT_BACK),  # the same version twice
        (seen(8, 0, 1, 4, 14), BreachKind.OLDER_EPOCH),
        (seen(8, 0, 6, 4, 14, torn=(4,)), BreachKind.HALF_CHANGE),
        (seen(8, 2, 6, 3, 99), BreachKind.DIVERGED),
        (seen(8, 2, 7, 3, 13), BreachKind.DIVERGED),
        (seen(8, 2, 2, 4, 14), BreachKind.OLDER_EPOCH),  # at another member than the newer one
        (Confirmed(8, 9, 0, 5, 3), BreachKind.LOST_CONFIRMED),
    ],
)
def test_each_breach_is_caught(broken: Record, kind: BreachKind) -> None:
    assert kind in [breach.kind for breach in find_breaches([*SOUND, broken])]


def test_half_a_change_is_seen_in_a_configuration() -> None:
    whole = {key: value for key, value in change_writes(3) if value is not None}
    assert changes_of(whole) == (3,) and changes_of(["other", "scale/x/left"]) == ()
    assert not is_torn(3, whole)
    half = dict(list(whole.items())[:1])
    assert is_torn(3, half) and is_torn(3, {})
    assert configuration_digest(whole) == configuration_digest(dict(reversed(whole.items())))
    assert configuration_digest(whole) != configuration_digest(half)


# ---- the judge ---------------------------------------------------------------------------------------

TIMELINE = Timeline((PhaseSpan("ordinary", 0, 20, True), PhaseSpan("cut", 20, 100, False)), (), ())
STARTS: list[Record] = [Lifecycle(0.0, index, "start") for index in range(10)]


def judged(topology: Topology, *records: Record):  # type: ignore[no-untyped-def]
    return evaluate(GOSSIP, 1, topology, TIMELINE, [*STARTS, *records])


def applied(topology: Topology, at: float, change: int, but: tuple[int, ...] = ()) -> list[Record]:
    """Each member has the change a little later than the one before it."""
    return [
        ConfigurationSeen(at + 0.1 * place.index, place.index, 1, change + 1, 5, [change], [])
        for place in topology.places
        if place.index not in but
    ]


def test_costs_are_those_of_proxies_in_ordinary_phases(topology: Topology) -> None:
    loads = [
        Load(float(second), place.index, 1000 if place.role is Role.PROXY else 9000, 500, 0.01)
        for second in range(1, 21)
        for place in topology.places
    ]
    burst = [Load(30.0, 9, 10**6, 0, 1.0)]
    figures = judged(topology, *loads, *burst)
    assert figures.proxies is not None and figures.control is not None
    assert (figures.proxies.bytes_per_s.mean, figures.proxies.bytes_per_s.max) == (1500.0, 1500.0)
    assert figures.control.bytes_per_s.max == 9500.0
    assert figures.proxies.cpu_share.max == pytest.approx(0.01)
    assert {phase.name: phase.bytes_per_s for phase in figures.phases}["cut"] == 10**6


def test_a_change_is_timed_from_its_first_hand_over_to_each_member(topology: Topology) -> None:
    handed = [ChangeSubmitted(1.0, 0, 0, "change"), ChangeSubmitted(1.5, 0, 1, "change")]
    figures = judged(topology, *handed, *applied(topology, 2.0, 0))
    assert figures.change.seconds is not None
    assert figures.change.seconds.max == pytest.approx(1.9)
    assert figures.change.seconds.count == 10 and figures.change.missing == 0
    assert figures.change_by_phase["ordinary"].events == 1 and figures.change_by_phase["cut"].events == 0


def test_a_member_that_never_gets_a_change_is_missing_unless_it_was_away(topology: Topology) -> None:
    records = [ChangeSubmitted(1.0, 0, 0, "change"), *applied(topology, 2.0, 0, but=(9,))]
    assert judged(topology, *records).change.missing == 1
    assert judged(topology, *records, Lifecycle(1.5, 9, "kill")).change.missing == 0
    assert (
        judged(topology, *records, Lifecycle(0.5, 9, "stop"), Lifecycle(4.0, 9, "resume")).change.missing == 0
    )
    late_start = [record for record in STARTS if record != STARTS[9]] + [Lifecycle(3.0, 9, "start")]
    assert evaluate(GOSSIP, 1, topology, TIMELINE, [*late_start, *records]).change.missing == 0


def test_a_change_that_nobody_has_is_lost_only_if_it_was_handed_over(topology: Topology) -> None:
    assert judged(topology, ChangeSubmitted(1.0, 0, 0, "change")).changes_lost == 1
    assert judged(topology, ChangeSubmitted(1.0, 0, 0, "conflict")).changes_lost == 0


def test_a_failure_is_known_when_the_last_live_member_knows(topology: Topology) -> None:
    dead = [StatusSeen(25.0 + index, index, 9, int(Status.DEAD)) for index in range(9)]
    suspected = [StatusSeen(24.0, index, 9, int(Status.SUSPECT)) for index in range(9)]
    figures = judged(topology, Lifecycle(22.0, 9, "kill"), *suspected, *dead)
    assert figures.failure_everywhere is not None
    assert figures.failure_everywhere.max == pytest.approx(11.0)
    assert (figures.failure.events, figures.failure.missing) == (1, 0)
    assert (figures.false_suspicions, figures.false_deaths) == (0, 0)
    figures = judged(topology, Lifecycle(22.0, 9, "kill"), *dead[:-1])
    assert figures.failure.missing == 1 and figures.failure_everywhere is None


def test_a_new_process_has_joined_when_it_has_what_was_newest_at_its_start(topology: Topology) -> None:
    away = [Lifecycle(22.0, 9, "kill"), Lifecycle(30.0, 9, "start")]
    before = [ChangeSubmitted(20.0, 0, 0, "change"), *applied(topology, 20.0, 0)]
    assert judged(topology, *before, *away).joining.missing == 1
    joined = judged(topology, *before, *away, seen(33.0, 9, 1, 1)).joining
    assert joined.seconds is not None and joined.seconds.max == pytest.approx(3.0)
    assert (joined.events, joined.missing) == (1, 0)


def test_those_on_the_smaller_side_of_a_cut_have_to_say_that_they_may_lack_news(topology: Topology) -> None:
    cut = [Lifecycle(30.0, -1, "cut"), Lifecycle(60.0, -1, "heal")]
    east = [place.index for place in topology.places if place.region == "east"]
    told: list[Record] = [FreshnessSeen(41.0 + index / 10, index, True) for index in east]
    found = judged(topology, *cut, *told).staleness
    assert found.seconds is not None and found.seconds.max == pytest.approx(11.0 + max(east) / 10)
    assert found.missing == 0
    assert judged(topology, *cut, *told[:-1]).staleness.missing == 1
    late = FreshnessSeen(55.0, east[-1], True)
    assert judged(topology, *cut, *told[:-1], late).staleness.missing == 1


def test_the_configuration_is_filled_before_the_first_phase(scenario: Scenario, topology: Topology) -> None:
    timeline = build_timeline(replace(scenario, configuration_bytes=4_000), topology, 1)
    fill = [p for p in timeline.publications if p.kind is PublicationKind.FILL]
    assert sum(p.padding for p in fill) == 4_000
    assert all(0 < p.at < scenario.settle for p in fill)


def test_a_dead_zone_is_no_heap_of_failures(topology: Topology) -> None:
    zone = [place.index for place in topology.places if place.zone == "e1"]
    figures = judged(topology, *[Lifecycle(22.0, index, "kill") for index in zone])
    assert figures.failure.events == 0


def test_false_suspicions_are_those_of_members_that_nothing_befell(topology: Topology) -> None:
    suspicion = StatusSeen(60.0, 0, 9, int(Status.SUSPECT))
    death = StatusSeen(62.0, 0, 9, int(Status.DEAD))
    figures = judged(topology, suspicion, death)
    assert (figures.false_suspicions, figures.false_deaths) == (1, 1)
    stopped = [Lifecycle(50.0, 9, "stop"), Lifecycle(55.0, 9, "resume")]
    assert judged(topology, suspicion, *stopped).false_suspicions == 0
    far = next(p.index for p in topology.places if p.region == "east")
    cut = [Lifecycle(50.0, -1, "cut"), Lifecycle(55.0, -1, "heal")]
    assert judged(topology, StatusSeen(60.0, 0, far, int(Status.SUSPECT)), *cut).false_suspicions == 0
    assert judged(topology, StatusSeen(95.0, 0, far, int(Status.SUSPECT)), *cut).false_suspicions == 1


def test_agreement_after_a_cut_needs_every_view_and_version(topology: Topology) -> None:
    count, digest = true_view(topology.places)
    cut: list[Record] = [Lifecycle(30.0, -1, "cut"), Lifecycle(40.0, -1, "heal")]
    views: list[Record] = [View(1.0, place.index, count, digest) for place in topology.places]
    views += [View(32.0, 0, 7, 123), View(44.0, 0, count, digest)]
    versions = [*applied(topology, 35.0, 0, but=(9,)), ConfigurationSeen(42.0, 9, 1, 1, 5, [0], [])]
    handed = ChangeSubmitted(35.0, 0, 0, "change")
    found = judged(topology, *cut, *views, *versions, handed).partitions
    assert [(agreement.members, agreement.configuration) for agreement in found] == [(4.0, 2.0)]
    assert slowest_recovery(found) == 4.0
    assert slowest_recovery(judged(topology, *cut, *views, *versions[:-1], handed).partitions) is None
    wrong_view = View(50.0, 3, count, digest ^ 1)  # the right number of the wrong members
    assert (
        slowest_recovery(judged(topology, *cut, *views[:-1], wrong_view, *versions, handed).partitions)
        is None
    )


def test_history_knows_who_was_cut_off(topology: Topology) -> None:
    history = History(topology, [*STARTS, Lifecycle(5, -1, "cut"), Lifecycle(6, -1, "heal")])  # type: ignore[list-item]
    east = next(place.index for place in topology.places if place.region == "east")
    assert (
        history.in_minority(east, 0, 10)
        and not history.in_minority(east, 7, 10)
        and not history.in_minority(0, 0, 10)
    )
    assert history.partitioned_between(0, east, 5.5, 5.6) and not history.partitioned_between(0, 1, 5.5, 5.6)


def test_the_report_has_the_keys_that_others_read(topology: Topology) -> None:
    figures = judged(
        topology, *[Load(float(s), p.index, 10, 20, 0.01) for s in range(1, 21) for p in topology.places]
    )
    both = [figures, replace(figures, size=60), replace(figures, mechanism=MESH)]
    flat = flat_metrics(both)
    for key in (
        "control_bytes_per_s_max",
        "control_cpu_share_max",
        "control_memory_mb_max",
        "change_everywhere_s_p50",
        "change_everywhere_s_p99",
        "change_everywhere_s_max",
        "after_cut_agree_s_max",
    ):
        assert f"n6_{key}" in flat and f"n60_{key}" in flat and f"mesh_n6_{key}" in flat
    assert flat["bytes_growth_exponent"] == pytest.approx(0.0) and flat["mesh_bytes_growth_exponent"] is None
    assert all(value is None or isinstance(value, (int, float)) for value in flat.values())
    assert len(table(both).splitlines()) == 4


# ---- one small run -----------------------------------------------------------------------------------


@pytest.mark.parametrize("mechanism", [MESH, GOSSIP])
def test_six_members_for_two_seconds(scenario: Scenario, tmp_path: Path, mechanism: str) -> None:
    short = replace(scenario, settle=0.3, phases=(Phase("ordinary", 1.2, 5.0, ()),), control_members=3)
    records = play(
        RunPlan(mechanism, short, 3, 1, workers=2), tmp_path, threading.Event(), lambda share: None
    )
    figures = evaluate(mechanism, 1, records.topology, records.timeline, read_records(records.paths))
    assert figures.proxies is not None and figures.proxies.bytes_per_s.mean > 100
    assert 0 < figures.proxies.cpu_share.mean < 1
    assert figures.change.events > 0 and figures.change.seconds is not None
    assert figures.change.seconds.p50 < 1.0
    assert math.isfinite(figures.memory_mb) and not figures.breaches


def test_a_run_that_is_stopped_leaves_no_process(scenario: Scenario, tmp_path: Path) -> None:
    stop = threading.Event()
    stop.set()
    with pytest.raises(RunError, match="stopped"):
        play(RunPlan(MESH, scenario, 6, 1, workers=1), tmp_path, stop, lambda share: None)
    assert not multiprocessing.active_children()
