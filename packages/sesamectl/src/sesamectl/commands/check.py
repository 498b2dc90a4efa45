"""``sesamectl check``: is this file a configuration?"""

from __future__ import annotations

from pathlib import Path

import msgspec

from sesamepoint_core.config.check import check_configuration
from sesamepoint.settings.load import SettingsError, read_document
from sesamectl.commands.base import COMMANDS, Arguments


def load_configuration(path: Path) -> tuple[str, bytes]:
    """Return a checked configuration's deployment and its JSON.

    Raises
    ------
    SettingsError
        On the first thing that is wrong, with its path in the document.
    """
    document = read_document(path)
    encoded = msgspec.json.encode(document)
    problems = check_configuration(encoded)
    if problems:
        found, _, remedy = problems[0].rpartition('; ')
        raise SettingsError(f'{path}: {found}', remedy)
    return document['deployment'], encoded


@COMMANDS.register('check')
def check(arguments: Arguments) -> str:
    """Check a file of configuration."""
    deployment, _ = load_configuration(Path(arguments['FILE']))
    return f'{arguments["FILE"]}: a good configuration of {deployment}'


__all__ = ('check', 'load_configuration')
