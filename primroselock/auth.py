"""Authenticates callers by their bearer token.

Settings and configuration hold SHA-256 digests of tokens only; digests
are compared in constant time.
"""

import hashlib
import hmac

from starlette import requests

from primroselock import configuration


def digest(token: str) -> str:
    """Return the SHA-256 digest of ``token`` in hex."""
    return hashlib.sha256(token.encode()).hexdigest()


def bearer_digest(request: requests.Request) -> str | None:
    """Return the digest of the request's bearer token, if it has one."""
    header = request.headers.get('authorization', '')
    scheme, _, token = header.partition(' ')
    if scheme.lower() != 'bearer' or not token.strip():
        return None
    return digest(token.strip())


def find_account(
    request: requests.Request, current: configuration.Configuration
) -> configuration.Account | None:
    """Return the client account whose token the request carries.

    None if the request has no bearer token or an unknown one.
    """
    presented = bearer_digest(request)
    if presented is None:
        return None
    # Every digest is compared, so that the time does not depend on which
    # one matches.
    found = None
    for account in current.accounts_by_name.values():
        for known in account.token_digests:
            if hmac.compare_digest(known, presented):
                found = account
    return found


def is_operator(
    request: requests.Request, operator_digests: tuple[str, ...]
) -> bool:
    """Return whether the request carries an operator's token."""
    presented = bearer_digest(request)
    if presented is None:
        return False
    # A list, so that every digest is compared.
    matches = [
        hmac.compare_digest(known, presented) for known in operator_digests
    ]
    return any(matches)
