"""Interface of the platform's object store."""

import typing

import result

from primroselock.store import table


class ObjectStore(typing.Protocol):
    """Stores objects by name, without transactions."""

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, table.Unavailable]:
        """Store ``body`` under ``name``, replacing an existing object.

        After an error the object may have been stored all the same.
        """

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, table.Unavailable]:
        """Return the object ``name``, or None if it does not exist."""


class Store(table.Table, ObjectStore, typing.Protocol):
    """A table and an object store."""
