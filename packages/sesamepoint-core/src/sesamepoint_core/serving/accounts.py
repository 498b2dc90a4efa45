"""Client accounts: whose request it is, by the key that its caller shows.

A key is a secret. It is turned into a digest where it enters the process, the
operator's list just like a caller's header, and only digests are kept, compared
and told to peers: no log line, error or dump of any object has a key to show.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

# Bytes of a digest: nobody finds a second key with the same one.
DIGEST_BYTES = 16


class KeyFault(StrEnum):
    """Why a request shows no usable key, as log lines tell it."""

    none = ''
    missing = 'no_key'
    malformed = 'malformed_key'
    repeated = 'two_keys'
    unknown = 'unknown_key'


class ShownKey(NamedTuple):
    """What a caller shows: the digest of a key, or why there is none."""

    digest: str = ''
    fault: KeyFault = KeyFault.missing


class Account(NamedTuple):
    """A client account; ``priority`` goes before that of routes, if there is one."""

    name: str
    priority: int | None = None


class Holder(NamedTuple):
    """An account and its keys, as the operator lists them."""

    account: Account
    keys: list[str]


class Accounts(NamedTuple):
    """All accounts of a configuration, found by the digests of their keys."""

    by_key: dict[str, Account]

    @classmethod
    def from_keys(cls, holders: Iterable[Holder]) -> Accounts:
        """Index accounts by their keys.

        Raises
        ------
        ValueError
            If a key is empty, or two accounts have it. The message names the
            accounts and the place of the key, never the key.
        """
        by_key: dict[str, Account] = {}
        for account, keys in holders:
            for place, key in enumerate(keys):
                before = by_key.setdefault(digest_of(key.encode()), account)
                _check(account, place, key, before)
        return cls(by_key)


@dataclass(frozen=True)
class Admitted:
    """The request may be served, for ``account`` if it is anybody's."""

    account: Account | None


@dataclass(frozen=True)
class Denied:
    """The request is nobody's."""

    fault: KeyFault


Admission = Admitted | Denied


def digest_of(key: bytes) -> str:
    """Return what stands for ``key`` everywhere but on the caller's wire."""
    return blake2b(key, digest_size=DIGEST_BYTES).hexdigest()


def admit(accounts: Accounts, shown: ShownKey, *, public: bool) -> Admission:
    """Tell whose request it is; on a ``public`` route it may be nobody's."""
    account = accounts.by_key.get(shown.digest) if shown.digest else None
    if account is not None or public:
        return Admitted(account)
    return Denied(shown.fault or KeyFault.unknown)


def _check(account: Account, place: int, key: str, before: Account) -> None:
    if not key:
        raise ValueError(f'key {place} of account {account.name} is empty')
    if before.name != account.name:
        raise ValueError(f'key {place} of account {account.name} is a key of {before.name} too')


__all__ = (
    'Account',
    'Accounts',
    'Admission',
    'Admitted',
    'Denied',
    'Holder',
    'KeyFault',
    'ShownKey',
    'admit',
    'digest_of',
)
