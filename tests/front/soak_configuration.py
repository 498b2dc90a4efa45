"""Configuration of the deployment of a soak."""

from __future__ import annotations

from typing import Any

from tests.front.builders import account, configuration
from tests.front.soak_repeats import shop_route, shop_service
from tests.front.soak_streams import story_route, story_service

# The key in all requests; it must not appear in any output.
API_KEY = 'k3yOfHarborOne77'


def soak_configuration(version: int) -> dict[str, Any]:
    """Return a version of the configuration, with accounts and a route for streams."""
    base = configuration(version, tenants=[account('harbor', API_KEY, priority=1), account('marina', 'k3yOfMarina99')])
    return {
        **base,
        'routes': [*base['routes'], story_route(), shop_route()],
        'services': [*base['services'], story_service(), shop_service()],
    }


__all__ = ('API_KEY', 'soak_configuration')
