"""The platform's object store, as primroselock uses it."""

import typing

import result

from primroselock.store import table


class ObjectStore(typing.Protocol):
    """Whole objects by name; no transactions."""

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, table.Unavailable]:
        """Store ``body`` under ``name``, replacing what was there."""

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, table.Unavailable]:
        """Return the object ``name``, or None where there is none."""


class Store(table.Table, ObjectStore, typing.Protocol):
    """A table and an object store."""
