"""Settings of hypothesis for all tests, with and without ``CI=true``."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

# Without this profile hypothesis applies wall-clock limits unless CI is set (200 ms an
# example, and a health check on slow input generation), which a busy machine exceeds.
PROFILE = 'repeatable'


def load_profile() -> None:
    """Make all tests draw the same examples on each run, without wall-clock limits."""
    settings.register_profile(
        PROFILE,
        derandomize=True,
        database=None,
        deadline=None,
        print_blob=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    settings.load_profile(PROFILE)


__all__ = ('PROFILE', 'load_profile')
