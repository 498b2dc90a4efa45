"""Deployment of real processes whose connections break."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.serving.address import Address
from sesamepoint_standins.platform.faulty_proxy import FaultyProxy, listen
from sesamepoint_standins.platform.process_bench import ProcessBench

if TYPE_CHECKING:
    from pathlib import Path

    import trio

    from sesamepoint_standins.platform.process_bench import Serve


class SoakBench(ProcessBench):
    """A deployment of processes with a faulty proxy in front of the store and of each runner."""

    def __init__(self, nursery: trio.Nursery, folder: Path) -> None:
        """Write the settings of the processes to ``folder``."""
        super().__init__(nursery, folder)
        self.proxies: list[FaultyProxy] = []

    async def serve(self, serve: Serve) -> Address:
        """Serve behind a proxy; return the address of the proxy."""
        proxy = FaultyProxy(await super().serve(serve))
        self.proxies.append(proxy)
        return Address(*await listen(proxy, self.nursery))


__all__ = ('SoakBench',)
