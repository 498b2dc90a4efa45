"""Lines of the settings file that name the store, the size of a machine, or the bounds of a deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address

LARGE_MACHINE = """limits.cpu_share=0.717
limits.cores=3
limits.memory_mb=552
limits.max_fds=8192
limits.link_mbps=100.0
"""
SMALL_MACHINE = """limits.cpu_share=0.387
limits.cores=1
limits.memory_mb=200
limits.max_fds=4100
limits.link_mbps=10.0
"""
# Bounds of three seconds, and a duty that no instance knows beside the one that they do.
SLOW_BOUNDS = """serves=front,control
bounds.drain_ms=3000
bounds.config_apply_ms=3000
bounds.usage_window_s=5
bounds.usage_late_s=10
cloud.duties=usage,scaling
"""


def store_line(address: Address | None) -> str:
    """Return the line that names the address of the store."""
    return f'platform.address={address}\n'


__all__ = ('LARGE_MACHINE', 'SLOW_BOUNDS', 'SMALL_MACHINE', 'store_line')
