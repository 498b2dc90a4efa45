"""Methods by which standings decide on waiting requests; all but the default are for comparison."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sesamepoint_core.registry import Registry

if TYPE_CHECKING:
    from sesamepoint_core.fair_share.fair_shares import AccountStanding


class ShareDecision(NamedTuple):
    """What the standing of an account means for one of its requests.

    Parameters
    ----------
    turn
        Position of the account within its priority; requests of a lower one go first.
    above
        Whether the request waits and is refused on behalf of all accounts within their shares.
    admitted
        Whether the request may wait at all.
    protected
        Whether it is refused only if it can't be answered at all: what it does not use
        would go to accounts above their shares.
    """

    turn: float = 0
    above: bool = False
    admitted: bool = True
    protected: bool = False


class ShareMethod(Protocol):
    """Derives a decision from a standing."""

    def __call__(self, standing: AccountStanding) -> ShareDecision:
        """Return the decision for a request of an account with ``standing``."""


share_methods: Registry[ShareMethod] = Registry('share method')

DEFAULT_METHOD = 'shares'


@share_methods.register('none')
def ignore_accounts(standing: AccountStanding) -> ShareDecision:
    """Treat all accounts alike, whatever their standing."""
    return ShareDecision()


@share_methods.register('virtual-time')
def order_by_own_work(standing: AccountStanding) -> ShareDecision:
    """Let the account go first that has used least at this instance."""
    return ShareDecision(standing.own_used_s)


@share_methods.register('admission')
def limit_admission(standing: AccountStanding) -> ShareDecision:
    """Keep the order, and let no request of an account above its share wait."""
    return ShareDecision(admitted=not standing.above)


@share_methods.register('shares')
def order_by_share(standing: AccountStanding) -> ShareDecision:
    """Let accounts within their shares go before those above."""
    return ShareDecision(float(standing.above), standing.above, protected=standing.within_limit)


@share_methods.register('shares-and-admission')
def order_and_limit(standing: AccountStanding) -> ShareDecision:
    """Let accounts within their shares go first, and no request of those above wait."""
    return ShareDecision(float(standing.above), standing.above, not standing.above, standing.within_limit)


__all__ = ('DEFAULT_METHOD', 'ShareDecision', 'ShareMethod', 'share_methods')
