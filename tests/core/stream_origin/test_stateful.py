"""Origins of streams under kills, cuts, lost messages, starts and changes of versions in any order.

The first oracle knows the origin of each stream: no instance may go on with it at another one. The second one asks that
a stream goes on wherever nothing has happened that may lose its origin. Each faulty variant lacks one
safeguard, and must break one of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from sesamepoint_core.stream_origin.origin import StreamOrigin
from sesamepoint_core.stream_origin.origin_lookup import OriginLookup
from sesamepoint_core.stream_origin.origin_memory import OriginMemory
from sesamepoint_core.stream_origin.version_history import VersionHistory
from tests.core.stream_origin import origin_world

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Set as AbstractSet
    from typing import Any

MAX_INSTANCES = 9
INDEXES = st.integers(0, MAX_INSTANCES)
LOST = st.sets(st.integers(0, 5))
ALL_LOST = frozenset(range(6))
ALL_VERSIONS = ('v0', 'v1', 'V1')


class OriginMachine(RuleBasedStateMachine):
    """Streams that begin and are taken up, and faults, in any order."""

    @initialize(instances=st.integers(1, MAX_INSTANCES // 2))
    def begin(self, instances: int) -> None:
        """Start instances of a service with one version."""
        self.world = origin_world.OriginWorld(instances)

    @rule(which=INDEXES, lost=LOST, version=INDEXES)
    def begin_stream(self, which: int, lost: AbstractSet[int], version: int) -> None:
        """Begin a stream at an instance, at one of the versions that it knows."""
        name = self._instance(which)
        known = sorted(self.world.instances[name].versions & self.world.versions)
        if known:
            self.world.begin_stream(name, known[version % len(known)], lost)

    @rule(which=INDEXES, stream=st.integers(0, 30), lost=st.one_of(st.just(set()), LOST), named=st.booleans())
    def take_up(self, which: int, stream: int, lost: AbstractSet[int], named: bool) -> None:
        """Take a stream up at an instance."""
        if not self.world.streams:
            return
        name = self._instance(which)
        taken = self.world.streams[stream % len(self.world.streams)]
        instance = self.world.instances[name]
        if self.world.now - taken.at > instance.memory.retention_s:
            return
        origin = self.world.take_up(name, taken, lost, named=named)
        assert origin in {None, taken.origin}, 'goes on at another version'
        reached = not lost and not any(one.cut for one in self.world.instances.values())
        assert origin or not (named and reached and taken.kept), 'does not go on'

    @rule(
        which=INDEXES,
        other=INDEXES,
        known_by=st.sampled_from(('holders', 'own', 'nobody')),
        replaces=st.booleans(),
        cut=st.booleans(),
        kills=st.booleans(),
    )
    def lose_one(self, which: int, other: int, known_by: str, replaces: bool, cut: bool, kills: bool) -> None:
        """Begin a stream, replace its version or its instance, perhaps unseen, and take it up at another one."""
        began = self._instance(which)
        if cut and other != which:
            self.world.instances[self._instance(other)].cut = True
        known = sorted(self.world.instances[began].versions & self.world.versions)
        if not known:
            return
        self.world.begin_stream(began, known[0], frozenset() if known_by == 'holders' else ALL_LOST)
        if replaces:
            self.world.change_versions({'V1' if known[0] == 'v1' else 'v1'})
        if kills:
            self.replace(which, restarts=True)
        self.wait(0.5)
        self.take_up(other, len(self.world.streams) - 1, set(), named=known_by != 'nobody')

    @rule(version=st.sampled_from(ALL_VERSIONS))
    def begin_version(self, version: str) -> None:
        """Start runners of a version beside the others."""
        self.world.change_versions(self.world.versions | {version})

    @rule(which=INDEXES)
    def end_version(self, which: int) -> None:
        """Have the last runners of a version leave; another version is left."""
        versions = sorted(self.world.versions)
        if len(versions) > 1:
            self.world.change_versions(self.world.versions - {versions[which % len(versions)]})

    @rule(which=INDEXES)
    def kill(self, which: int) -> None:
        """Kill an instance, as long as four are left."""
        if len(self.world.instances) > 4:
            self.world.kill(self._instance(which))

    @rule(which=INDEXES, restarts=st.booleans())
    def replace(self, which: int, restarts: bool) -> None:
        """Start an instance, in place of another one if it ``restarts``."""
        if restarts:
            self.world.kill(self._instance(which))
        if len(self.world.instances) < MAX_INSTANCES:
            self.world.start_instance()

    @rule(which=INDEXES, cut=st.booleans())
    def cut_or_heal(self, which: int, cut: bool) -> None:
        """Cut an instance off from the store and its peers, or heal the cut."""
        instance = self.world.instances[self._instance(which)]
        instance.cut = cut
        if not cut:
            self.world.change_versions(self.world.versions)

    @rule(for_s=st.sampled_from((0.5, 20, 59, 70)))
    def wait(self, for_s: float) -> None:
        """Let time pass, while instances in touch go on to see the versions."""
        self.world.now += for_s
        self.world.change_versions(self.world.versions)

    def _instance(self, which: int) -> str:
        names = list(self.world.instances)
        return names[which % len(names)]


class StatefulTest(TestCase):
    """The code, and its faulty variants."""

    def test_origins_in_any_order(self) -> None:
        """Guards against streams that go on at another version, or end although their origin is known."""
        _run(tuple(Phase))

    def test_without_holders(self) -> None:
        """Guards against origins that only the instance which began the stream knows, after its end."""
        self._assert_caught(origin_world, 'HOLDERS', 0)

    def test_guess_without_confirmation(self) -> None:
        """Guards against an instance that trusts its own view of the versions while it is cut off."""
        self._assert_caught(OriginLookup, '_confirmed', lambda lookup, sole: True)

    def test_guess_by_the_versions_of_now(self) -> None:
        """Guards against a version that is taken for the only one although another has just left."""
        self._assert_caught(VersionHistory, '_recent', _latest_only)

    def test_guess_of_a_young_instance(self) -> None:
        """Guards against instances that have just started and don't know which versions there were."""
        self._assert_caught(VersionHistory, 'sole_origin', _without_age)

    def test_versions_without_case(self) -> None:
        """Guards against versions that differ by letter case and are taken for one."""
        self._assert_caught(OriginMemory, 'remember', _lower_case_memory(OriginMemory.remember))

    def _assert_caught(self, owner: Any, name: str, faulty: Any) -> None:
        with patch.object(owner, name, faulty), self.assertRaises(AssertionError):
            _run((Phase.generate,))


def _run(phases: tuple[Phase, ...]) -> None:
    run_state_machine_as_test(
        OriginMachine, settings=settings(max_examples=300, stateful_step_count=40, phases=phases, print_blob=False)
    )


def _latest_only(history: VersionHistory, service: str, now: float) -> list[str | None]:
    """Return the versions that are registered now, as a faulty variant."""
    return [version for version, at in history._seen_at.get(service, {}).items() if at == now]


def _without_age(history: VersionHistory, service: str, now: float) -> StreamOrigin | None:
    """Return the only version seen, however short the time, as a faulty variant."""
    versions = history._recent(service, now)
    return StreamOrigin(service, versions[0] or '') if len(versions) == 1 else None


def _lower_case_memory(remember: Callable[..., None]) -> Callable[..., None]:
    """Return a faulty variant that ignores letter case."""

    def faulty(memory: OriginMemory, digest: bytes, origin: StreamOrigin, now: float) -> None:
        remember(memory, digest, origin._replace(version=origin.version and origin.version.lower()), now)

    return faulty
