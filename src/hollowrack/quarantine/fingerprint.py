"""Recognises a request that comes again under another identifier."""

import hashlib

from hollowrack.forwarding.back_end import BackEndCall

# 128 bits: requests do not share a fingerprint by chance, nor by any caller's design.
DIGEST_BYTES = 16
HOST_HEADER = "host"


def fingerprint_of(call: BackEndCall) -> str:
    """Return a digest of a request's caller, host, method, path and body.

    Identifiers and deadlines differ from one try to the next and are left out, as are all headers
    but the host.
    """
    host = next((value for name, value in call.headers if name.lower() == HOST_HEADER), "")
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (call.tenant or "", host.lower(), call.method, call.target):
        encoded = part.encode("utf-8", "surrogateescape")
        # The length keeps the parts apart, whatever they contain.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(call.body)
    return digest.hexdigest()
