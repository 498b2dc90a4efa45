"""Stand-in for an inference engine: continuous batching in steps, on trio's clock."""

from __future__ import annotations

from collections import OrderedDict, deque
from contextlib import suppress
from typing import NamedTuple

import trio

from sesamepoint.control.notifier import Notifier
from sesamepoint.upstream.base import UpstreamLoad
from sesamepoint_standins import engine_model as model

# Decode steps that are simulated with one sleep.
MAX_STEPS_PER_SLEEP = 16
SNAPSHOT_INTERVAL_S = 0.1
MAX_SNAPSHOTS = 64
# Averaging time of the reported step duration.
STEP_AVERAGE_S = 4.0
# Prefixes in a load report.
MAX_REPORTED_PREFIXES = 16


class EngineRequest(NamedTuple):
    """Completion request as the engine receives it."""

    request_id: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    prefix: str
    prefix_tokens: int
    seed: int


class EngineRefusedError(Exception):
    """Order to change the role that the engine refuses."""


class _ActiveRequest:
    """Request that waits or runs in the engine."""

    def __init__(self, req: EngineRequest, prefill_left: int, text_channel: trio.MemorySendChannel[str]) -> None:
        self.req = req
        self.prefill_left = prefill_left
        self.produced = 0
        self.sent = 0
        self.text_channel = text_channel

    @property
    def output_left(self) -> int:
        """Return the number of tokens still to generate."""
        return self.req.output_tokens - self.produced

    def produce(self, steps: int, flush_tokens: int) -> None:
        """Generate a token per step, and send the unsent text.

        It is sent from ``flush_tokens`` tokens on, and at once for the first and
        the last token.
        """
        self.produced += steps
        due = self.produced - self.sent
        if due >= flush_tokens or not self.output_left or not self.sent:
            # The engine does not notice a client that disconnects without a cancel.
            with suppress(trio.BrokenResourceError):
                self.text_channel.send_nowait(model.answer_text(self.req.seed, self.sent, due))
            self.sent = self.produced


class Engine:
    """Simulated engine; each step covers a prompt chunk and all running answers.

    Parameters
    ----------
    role
        Initial role.
    checks_fencing
        Whether an order with an older fencing number is refused.
    flush_tokens
        Tokens per chunk of an answer's stream.
    """

    def __init__(self, role: str, *, checks_fencing: bool, flush_tokens: int = 1) -> None:
        """Start without requests."""
        self.role = role
        self.fence = -1
        self.changing = False
        self.slowdown = 1.0
        self.role_change_s = model.ROLE_CHANGE_S
        self.report_extra_lag_s: float = 0
        self.reports_frozen = False
        self.orders: list[tuple[str, int]] = []
        self.cut_off = 0
        self.run_counts: dict[str, int] = {}
        self.run_counts_by_seed: dict[int, int] = {}
        self.dropped_by_order = 0
        self._checks_fencing = checks_fencing
        self._flush_tokens = flush_tokens
        self._waiting: list[_ActiveRequest] = []
        self._running: list[_ActiveRequest] = []
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._work_changed = Notifier()
        self._reports: deque[tuple[float, UpstreamLoad]] = deque(maxlen=MAX_SNAPSHOTS)
        self._role_change_aborted = Notifier()
        self._step_s = model.BASE_STEP_S

    def submit(self, req: EngineRequest) -> trio.MemoryReceiveChannel[str]:
        """Queue ``req`` and return the channel of its text.

        The channel is closed early if the engine drops the request.
        """
        sender, receiver = trio.open_memory_channel[str](float('inf'))
        cached = self._cached_tokens(req)
        self.run_counts[req.request_id] = self.run_counts.get(req.request_id, 0) + 1
        self.run_counts_by_seed[req.seed] = self.run_counts_by_seed.get(req.seed, 0) + 1
        self._waiting.append(_ActiveRequest(req, max(req.prompt_tokens - cached, 1), sender))
        self._waiting.sort(key=lambda active: -active.req.priority)
        self._work_changed.notify_all()
        return receiver

    def cancel(self, request_id: str) -> None:
        """Drop a waiting or running request."""
        for active in self._active_requests(request_id):
            queue = self._waiting if active in self._waiting else self._running
            queue.remove(active)
            active.text_channel.close()
            self._work_changed.notify_all()

    def load(self) -> UpstreamLoad:
        """Return the delayed load report; ``role`` and ``changing`` are current."""
        self._snapshot()
        horizon = trio.current_time() - model.REPORT_LAG_S - self.report_extra_lag_s
        visible = [load for made_at, load in self._reports if made_at <= horizon]
        load = visible[-1] if visible else self._reports[0][1]
        return load._replace(role=self.role, changing=self.changing)

    def order(self, role: str, fence: int) -> None:
        """Begin a role change and drop all requests.

        Raises
        ------
        EngineRefusedError
            If the role is unknown, a role change is in progress, or the
            engine checks fencing and the number is older than the newest.
        """
        if role not in model.PROFILES:
            raise EngineRefusedError(f'unknown role {role!r}')
        if self._checks_fencing and fence < self.fence:
            raise EngineRefusedError(f'fencing number {fence} is older than {self.fence}')
        if self.changing:
            raise EngineRefusedError('a change is under way')
        self.fence = max(fence, self.fence)
        self.orders.append((role, fence))
        self.dropped_by_order += len(self._active_requests())
        self._drop_all()
        self._cache.clear()
        self.changing = True
        self.role = model.HALF_SWITCHED
        self._target = role
        self._work_changed.notify_all()

    def crash(self) -> None:
        """Drop all requests and the cache; a role change in progress stays unfinished."""
        self._drop_all()
        self._cache.clear()
        self.changing = False
        self._role_change_aborted.notify_all()

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            if self.changing:
                await self._change_role()
            elif self._waiting or self._running:
                await self._step()
            else:
                self._snapshot(idle=True)
                await self._work_changed.wait()

    async def _change_role(self) -> None:
        if await self._role_change_aborted.wait_with_timeout(self.role_change_s):
            return
        self.role = self._target
        self.changing = False

    async def _step(self) -> None:
        profile = model.PROFILES.get(self.role)
        if profile is None:
            await self._work_changed.wait_with_timeout(SNAPSHOT_INTERVAL_S)
            return
        chunk = self._plan_chunk(profile)
        if chunk:
            await self._mixed_step(chunk)
        else:
            await self._decode_steps()
        self._snapshot()

    def _plan_chunk(self, profile: model.RoleProfile) -> list[tuple[_ActiveRequest, int]]:
        budget = profile.chunk_tokens
        chunk = []
        for active in self._waiting[: max(profile.max_running - len(self._running), 0)]:
            tokens = min(active.prefill_left, budget)
            if tokens:
                chunk.append((active, tokens))
            budget -= tokens
        return chunk

    async def _mixed_step(self, chunk: list[tuple[_ActiveRequest, int]]) -> None:
        decoding = list(self._running)
        chunk_tokens = sum(tokens for _, tokens in chunk)
        step_s = model.step_s(chunk_tokens, len(decoding))
        self._average_step(step_s, 1)
        await trio.sleep(step_s * self.slowdown)
        for active, tokens in chunk:
            active.prefill_left -= tokens
            if not active.prefill_left and active in self._waiting:
                self._waiting.remove(active)
                self._running.append(active)
                self._cache_prefix(active.req)
                active.produce(1, self._flush_tokens)
        self._produce(decoding, 1)

    async def _decode_steps(self) -> None:
        decoding = list(self._running)
        self._average_step(model.step_s(0, len(decoding)), MAX_STEPS_PER_SLEEP)
        step_s = model.step_s(0, len(decoding)) * self.slowdown
        steps = min(MAX_STEPS_PER_SLEEP, min(active.output_left for active in decoding))
        started = trio.current_time()
        if await self._work_changed.wait_with_timeout(steps * step_s):
            started_steps = int((trio.current_time() - started) / step_s) + 1
            steps = min(steps, started_steps)
            await trio.sleep(max(started + steps * step_s - trio.current_time(), 0))
        self._produce(decoding, steps)

    def _average_step(self, step_s: float, steps: int) -> None:
        """Update the average duration of a step, in seconds."""
        weight = min(steps * step_s / STEP_AVERAGE_S, 1)
        self._step_s += weight * (step_s - self._step_s)

    def _produce(self, decoding: list[_ActiveRequest], steps: int) -> None:
        for active in decoding:
            if active in self._running:
                active.produce(steps, self._flush_tokens)
        done = [ended for ended in self._running if not ended.output_left]
        for finished in done:
            self._running.remove(finished)
            finished.text_channel.close()

    def _cached_tokens(self, req: EngineRequest) -> int:
        cached = self._cache.get(req.prefix, 0)
        if cached:
            self._cache.move_to_end(req.prefix)
        return min(cached, req.prefix_tokens)

    def _cache_prefix(self, req: EngineRequest) -> None:
        if req.prefix:
            self._cache[req.prefix] = req.prefix_tokens
        while sum(self._cache.values()) > model.PREFIX_CACHE_TOKENS:
            self._cache.popitem(last=False)

    def _drop_all(self) -> None:
        self.cut_off += len(self._active_requests())
        for dropped in self._active_requests():
            dropped.text_channel.close()
        self._waiting.clear()
        self._running.clear()

    def _active_requests(self, request_id: str = '') -> list[_ActiveRequest]:
        inside = [*self._waiting, *self._running]
        return [active for active in inside if request_id in {active.req.request_id, ''}]

    def _snapshot(self, *, idle: bool = False) -> None:
        now = trio.current_time()
        recent = bool(self._reports) and now - self._reports[-1][0] < SNAPSHOT_INTERVAL_S
        if self._reports and (self.reports_frozen or (recent and not idle)):
            return
        running = len(self._running)
        load = UpstreamLoad(
            role=self.role,
            changing=self.changing,
            waiting_tokens=sum(active.prefill_left for active in self._waiting),
            urgent_tokens=sum(active.prefill_left for active in self._waiting if active.req.priority),
            waiting=len(self._waiting),
            running=running,
            prefill_rate=model.prefill_rate(self.role, running) / self.slowdown,
            token_s=self._step_s * self.slowdown,
            prefixes=tuple(self._cache)[-MAX_REPORTED_PREFIXES:],
            slots=model.PROFILES[self.role].max_running if self.role in model.PROFILES else 0,
        )
        self._reports.append((now, load))


__all__ = ('Engine', 'EngineRefusedError', 'EngineRequest')
