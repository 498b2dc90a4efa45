"""Short soaks of changing configurations before real processes, by fixed seeds."""

from __future__ import annotations

import os
from unittest import TestCase
from unittest.mock import patch

import trio

from tests.front.configurations.config_soak import play

# Add each seed that fails, with a line on the cause.
SEEDS = (1, 2)
DURATION_S = 9.0
# Long enough for a store that goes away and comes back, or refuses half of the instances.
RESTORES_S = 18.0
# The first one that shows the fault ends the test.
FAULTY_SEEDS = range(1, 11)
# The outages of the seeds before follow each other so soon that no version is due between them.
LATE_AFTER_RESTORE_SEEDS = range(5, 11)
FAULTY_PROGRAM = 'tests.front.faulty_front'


class ConfigSoakTest(TestCase):
    """Instances that follow configurations and leaving runners while faults overlap."""

    def test_signals_beside_versions(self) -> None:
        """Guards against a version that is late, comes back or is refused beside reloads, kills and freezes."""
        self._check('reload', 'kill', 'freeze')

    def test_moved_store(self) -> None:
        """Guards against instances that go on asking the address of the store before a change of the settings."""
        self._check('move-store')

    def test_replaced_settings(self) -> None:
        """Guards against settings that change without a signal, by a file that is replaced, and are not noticed."""
        self._check('replace-settings')

    def test_invalid_versions(self) -> None:
        """Guards against an invalid version that is in force, in whole or in part."""
        self._check('invalid-versions', 'reload')

    def test_silent_long_reads(self) -> None:
        """Guards against changes that are late because reads that wait for them stay without an answer."""
        self._check('silent-long-reads')

    def test_silent_log_reads(self) -> None:
        """Guards against changes that are late because no read of the log is answered, and lists are."""
        self._check('silent-log-reads')

    def test_restored_store(self) -> None:
        """Guards against changes at the return of a restored store that instances learn one by one."""
        self._check('restore-store', duration_s=RESTORES_S)

    def test_half_refused(self) -> None:
        """Guards against refused instances that do not use the updates of their peers."""
        self._check('refuse-half', duration_s=RESTORES_S)

    def _check(self, *rows: str, duration_s: float = DURATION_S) -> None:
        found = {seed: trio.run(play, seed, duration_s, rows) for seed in SEEDS}
        self.assertEqual(found, {seed: [] for seed in SEEDS})


class FaultyInstancesTest(TestCase):
    """Guards against a soak that finds nothing: each variant of an instance must be found."""

    def test_applies_late(self) -> None:
        self.assertTrue(_is_found('applies-late', 'config', 'calm'))

    def test_goes_back_at_reload(self) -> None:
        self.assertTrue(_is_found('goes-back-at-reload', 'back', 'reload'))

    def test_refuses_new_keys(self) -> None:
        self.assertTrue(_is_found('refuses-new-keys', 'denied', 'calm'))

    def test_sends_to_leaving(self) -> None:
        self.assertTrue(_is_found('sends-to-leaving', 'drain', 'calm'))

    def test_keeps_store_address(self) -> None:
        self.assertTrue(_is_found('keeps-store-address', 'config', 'move-store'))

    def test_misses_replaced_settings(self) -> None:
        self.assertTrue(_is_found('misses-replaced-settings', 'config', 'replace-settings'))

    def test_reads_no_list_instead(self) -> None:
        self.assertTrue(_is_found('reads-no-list-instead', ('config', 'drain'), 'silent-log-reads'))

    def test_drops_all_updates(self) -> None:
        self.assertTrue(_is_found('drops-all-updates', 'drain', 'refuse-half', RESTORES_S))

    def test_ignores_first_answers(self) -> None:
        marks = ('drain', 'config', 'denied')
        seeds = LATE_AFTER_RESTORE_SEEDS
        self.assertTrue(_is_found('ignores-first-answers', marks, 'restore-store', RESTORES_S, seeds))

    def test_takes_older_copy(self) -> None:
        self.assertTrue(_is_found('takes-older-copy', 'back', 'restore-store', RESTORES_S))

    def test_believes_ready_again(self) -> None:
        self.assertTrue(_is_found('believes-ready-again', 'drain', 'restore-store', RESTORES_S))

    def test_takes_invalid_versions(self) -> None:
        self.assertTrue(_is_found('takes-invalid-versions', ('config', 'denied', 'back'), 'invalid-versions'))


def _is_found(
    variant: str,
    mark: str | tuple[str, ...],
    row: str,
    duration_s: float = DURATION_S,
    seeds: range = FAULTY_SEEDS,
) -> bool:
    """Tell whether a seed finds a violation of one kind in faulty processes."""
    with patch.dict(os.environ, VARIANT=variant):
        found = (trio.run(play, seed, duration_s, (row,), FAULTY_PROGRAM) for seed in seeds)
        return any(line.startswith(mark) for violations in found for line in violations)
