"""Construction of entry and agent processes, whose settings are JSON with comments."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint import events
from sesamepoint.process.agent_process import AgentProcess
from sesamepoint.process.entry_process import EntryProcess
from sesamepoint.settings.load import load_settings
from sesamepoint.settings.model import AgentSettings, EntrySettings

if TYPE_CHECKING:
    from pathlib import Path


def build_entry(path: Path) -> EntryProcess:
    """Build the entry process from the settings file ``path``."""
    cfg = load_settings(path, EntrySettings)
    events.set_up_logs(cfg['name'])
    return EntryProcess.from_config(cfg)


def build_agent(path: Path) -> AgentProcess:
    """Build the agent process from the settings file ``path``."""
    cfg = load_settings(path, AgentSettings)
    events.set_up_logs(cfg['name'])
    return AgentProcess.from_config(cfg)


__all__ = ('build_agent', 'build_entry')
