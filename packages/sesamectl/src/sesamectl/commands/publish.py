"""``sesamectl publish`` and ``preset``: changes of the configuration and of the preset."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from sesamepoint_core.errors import SesamepointError
from sesamepoint_core.fold.record_outcome import Accepted
from sesamepoint_core.fold.records import Publish, SwitchPreset
from sesamectl.commands.base import COMMANDS, Arguments, with_follower
from sesamectl.commands.check import load_configuration

if TYPE_CHECKING:
    from sesamepoint_core.fold.records import Body
    from sesamepoint.control.follower import Follower


class ChangeRefusedError(SesamepointError):
    """The control stream rejected a change."""


@COMMANDS.register('publish')
def publish(arguments: Arguments) -> str:
    """Put a new configuration in force."""
    deployment, document = load_configuration(Path(arguments['FILE']))

    def change(based_on: int) -> Publish:  # noqa: WPS430
        return Publish(based_on, arguments['--operator'], msgspec.Raw(document))

    return _submit(arguments, deployment, change)


@COMMANDS.register('preset')
def preset(arguments: Arguments) -> str:
    """Switch to another preset."""

    def change(based_on: int) -> SwitchPreset:  # noqa: WPS430
        return SwitchPreset(based_on, arguments['--operator'], arguments['NAME'])

    return _submit(arguments, arguments['--deployment'], change)


def _submit(arguments: Arguments, deployment: str, make_body: object) -> str:
    async def submit(follower: Follower) -> str:  # noqa: WPS430
        option = arguments['--based-on']
        based_on = follower.state.version if option is None else int(option)
        body: Body = make_body(based_on)  # type: ignore[operator]
        outcome = await follower.submit(body)
        if isinstance(outcome, Accepted):
            return f'{deployment}: version {outcome.version} is in force from offset {outcome.offset}'
        raise ChangeRefusedError(
            getattr(outcome, 'reason', 'the record was a repeat'),
            getattr(outcome, 'remedy', 'run "sesamectl show"'),
        )

    return with_follower(arguments, deployment, submit)


__all__ = ('ChangeRefusedError', 'preset', 'publish')
