"""Supervised children of an agent, for any transport of its links."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.agent.order_executor import OrderExecutor
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from sesamepoint.agent.agent import Agent


def agent_children(agent: Agent) -> list[Child]:
    """Return the children that every agent runs."""
    return [
        Child('follower', agent.follower.follow),
        Child('attempts', agent.serve_attempts),
        Child('keys', agent.coordinators.run),
        Child('load', agent.poll_load),
        Child('tidy', agent.prune_attempts),
        Child('orders', OrderExecutor(agent).execute),
    ]


__all__ = ('agent_children',)
