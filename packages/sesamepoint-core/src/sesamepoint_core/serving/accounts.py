"""Client accounts and the look-up of an account by the API key of a request.

A key is a secret. It is hashed where it enters the process, from the operator's
configuration as well as from a caller's header. Only digests are stored, compared
and sent to peers, so that no log line, error or dump of an object can contain a key.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

# Long enough that a second key with the same digest can't be found.
DIGEST_BYTES = 16


class KeyFault(StrEnum):
    """Reasons why a request has no usable key; the values are written to the log."""

    none = ''
    missing = 'no_key'
    malformed = 'malformed_key'
    repeated = 'two_keys'
    unknown = 'unknown_key'


class PresentedKey(NamedTuple):
    """The digest of the key that a request carries, or the reason why there is none."""

    digest: str = ''
    fault: KeyFault = KeyFault.missing


class Account(NamedTuple):
    """A client account; its ``priority``, if set, overrides the priority of the route."""

    name: str
    priority: int | None = None


class AccountKeys(NamedTuple):
    """An account and its keys, as the operator configures them."""

    account: Account
    keys: list[str]


class Accounts(NamedTuple):
    """All accounts of a configuration, indexed by the digests of their keys."""

    by_key: dict[str, Account]

    @classmethod
    def from_keys(cls, account_keys: Iterable[AccountKeys]) -> Accounts:
        """Index accounts by their keys.

        Raises
        ------
        ValueError
            If a key is empty or belongs to two accounts. The message names the
            accounts and the index of the key, never the key.
        """
        by_key: dict[str, Account] = {}
        for account, keys in account_keys:
            for position, key in enumerate(keys):
                owner = by_key.setdefault(digest_of(key.encode()), account)
                _check_key(account, position, key, owner)
        return cls(by_key)


@dataclass(frozen=True)
class Admitted:
    """The request may be served; ``account`` is None if it belongs to no account."""

    account: Account | None


@dataclass(frozen=True)
class Denied:
    """The request belongs to no account and its route isn't public."""

    fault: KeyFault


Admission = Admitted | Denied


def digest_of(key: bytes) -> str:
    """Return the digest that replaces ``key`` everywhere in the system."""
    return blake2b(key, digest_size=DIGEST_BYTES).hexdigest()


def admit(accounts: Accounts, presented: PresentedKey, *, public: bool) -> Admission:
    """Find the account of a request; on a ``public`` route there need not be one."""
    account = accounts.by_key.get(presented.digest) if presented.digest else None
    if account is not None or public:
        return Admitted(account)
    return Denied(presented.fault or KeyFault.unknown)


def _check_key(account: Account, position: int, key: str, owner: Account) -> None:
    if not key:
        raise ValueError(f'key {position} of account {account.name} is empty')
    if owner.name != account.name:
        raise ValueError(f'key {position} of account {account.name} is a key of {owner.name} too')


__all__ = (
    'Account',
    'AccountKeys',
    'Accounts',
    'Admission',
    'Admitted',
    'Denied',
    'KeyFault',
    'PresentedKey',
    'admit',
    'digest_of',
)
