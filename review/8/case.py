"""A runner is draining; a heartbeat of before, whose answer was lost, is written late, and the fronts send to it again."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import bench as bench_module  # noqa: E402

DRAIN_S = 2.0
STABLE_S = 3.0
# The page allows 1 to 6 s.
LATE_S = 5.9
# While requests run there: the page says only that it exits after drain_ms and a little longer.
EXIT_AFTER_S = 3.4
LEAVING = 'i-1'


async def case(bench, trouble):
    await bench.start_store()
    store = bench.store
    store.put('keyed.op', 'config', bench_module.configuration(1))
    lost = []

    def lose(topic, key, text):
        if arm.is_set() and topic == 'keyed.servers' and key == LEAVING and not lost:
            lost.append(time.monotonic())
            bench.record(f'heartbeat of {key} ({json.loads(text)["state"]}) gets no answer; done {LATE_S} s later')
            return LATE_S
        return None

    def on_write(topic, key, text, at):
        if topic == 'keyed.servers' and key == LEAVING:
            bench.record(f'store: {key} is {json.loads(text)["state"] if text else "removed"}')

    arm = asyncio.Event()
    store.lose = lose
    store.on_write = on_write
    for key in ('i-1', 'i-2', 'i-3'):
        bench.start_runner(key, exit_after_s=EXIT_AFTER_S)
    fronts = [bench.start_front(number) for number in (1, 2)]
    for front in fronts:
        await bench.wait_ready(front)
    answers = {}
    stop = asyncio.Event()
    callers = [asyncio.create_task(call_steadily(front, f'{front["name"]}-{n}', answers, stop)) for front in fronts for n in range(4)]
    await asyncio.sleep(STABLE_S + 1)
    # Platform disruption: from here until the one write was lost.
    if trouble:
        arm.set()
        while not lost:
            await asyncio.sleep(0.005)
    # The store is without disruption for stable_window_ms before the runner drains.
    await asyncio.sleep(STABLE_S + 0.2)
    bench.runners[LEAVING].send_signal(10)
    accepted = await bench.wait_line(runner=LEAVING, what='draining accepted')
    await bench.wait_line(runner=LEAVING, what='exits')
    await asyncio.sleep(1.5)
    stop.set()
    await asyncio.gather(*callers)
    late = [
        line
        for line in bench.runner_lines()
        if line['runner'] == LEAVING and line['what'] == 'runs' and line['at'] > accepted['at'] + DRAIN_S
    ]
    for line in late:
        bench.record(
            f'{LEAVING} got {line["request"]} {line["at"] - accepted["at"]:.3f} s after the store accepted "draining"; '
            f'its client got {answers.get(line["request"])}'
        )
    runs = sum(line['what'] == 'runs' for line in bench.runner_lines())
    statuses = {}
    for status in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    bench.record(f'{len(answers)} requests sent; answers by status (0: none) {statuses}; {runs} runs')
    bench.record(f'{len(late)} requests later than {DRAIN_S} s after the acknowledgement')
    if len(answers) < 200:
        raise bench_module.CannotRun('too few requests')
    return bool(late)


async def call_steadily(front, name, answers, stop):
    client = bench_module.Client(front)
    number = 0
    while not stop.is_set():
        number += 1
        request_id = f'{name}-{number}'
        answer = await client.call('POST', f'/crew/{number}', request_id, 2.5)
        answers[request_id] = answer.status if answer.complete else 0
        await asyncio.sleep(0.03)
    client.leave()


if __name__ == '__main__':
    bench_module.main(case, Path(__file__).resolve().parent)
