"""``sesamectl check``: validation of a configuration file."""

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
        On the first problem, with its path in the document.
    """
    document = read_document(path)
    encoded = msgspec.json.encode(document)
    problems = check_configuration(encoded)
    if problems:
        problem, _, remedy = problems[0].rpartition('; ')
        raise SettingsError(f'{path}: {problem}', remedy)
    return document['deployment'], encoded


@COMMANDS.register('check')
def check(arguments: Arguments) -> str:
    """Check a configuration file."""
    deployment, _ = load_configuration(Path(arguments['FILE']))
    return f'{arguments["FILE"]}: a valid configuration of {deployment}'


__all__ = ('check', 'load_configuration')
