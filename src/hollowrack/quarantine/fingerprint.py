"""Request fingerprints: identify a request that is sent again under another identifier."""

import hashlib

from hollowrack.forwarding.back_end import BackEndCall

# 128 bits, against accidental and deliberate collisions.
DIGEST_BYTES = 16
HOST_HEADER = "host"


def fingerprint_of(call: BackEndCall) -> str:
    """Return the hex digest of a request's tenant, host, method, target and body.

    Identifiers, deadlines and all headers but the host may differ between attempts and are not
    part of the digest.
    """
    host = next((value for name, value in call.headers if name.lower() == HOST_HEADER), "")
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (call.tenant or "", host.lower(), call.method, call.target):
        encoded = part.encode("utf-8", "surrogateescape")
        # The length prefix keeps the parts separate, whatever they contain.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(call.body)
    return digest.hexdigest()
