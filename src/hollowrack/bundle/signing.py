"""Bundle signatures: Ed25519 over the canonical JSON of a bundle."""

import json
from collections.abc import Mapping
from dataclasses import dataclass

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from returns.result import Failure, Result

from hollowrack.bundle.schema import Bundle, parse_bundle
from hollowrack.messages.codec import message
from hollowrack.results import Problem, ResultCode

_SIGNATURE_CONTEXT = b"hollowrack-bundle-v1\n"


@message("bundle.signed")
@dataclass(frozen=True)
class SignedBundle:
    """A bundle in the form in which it is stored and sent between nodes.

    Attributes:
        document: Canonical JSON of the bundle.
        signer: Name of the signing key.
        signature: Ed25519 signature of the context string followed by the document.
    """

    document: bytes
    signer: str
    signature: bytes


def canonical_document(bundle: Bundle) -> bytes:
    """Return the document to sign: JSON with sorted keys and no spaces."""
    values = bundle.model_dump(mode="json")
    return json.dumps(values, sort_keys=True, separators=(",", ":")).encode()


def generate_key() -> Ed25519PrivateKey:
    """Generate a signing key."""
    return Ed25519PrivateKey.generate()


def public_key_hex(key: Ed25519PrivateKey) -> str:
    """Return the public key in hex, as the setting ``trusted_signers`` expects it."""
    raw = key.public_key().public_bytes(serialization.Encoding.Raw, serialization.PublicFormat.Raw)
    return raw.hex()


def sign_bundle(bundle: Bundle, signer: str, key: Ed25519PrivateKey) -> SignedBundle:
    """Sign a bundle as ``signer``."""
    document = canonical_document(bundle)
    return SignedBundle(document, signer, key.sign(_SIGNATURE_CONTEXT + document))


def verify_bundle(
    signed: SignedBundle, trusted_signers: Mapping[str, str]
) -> Result[Bundle, Problem]:
    """Verify the signature, validate the document and return the bundle.

    Fails with ``BUNDLE_SIGNER_UNKNOWN``, ``BUNDLE_SIGNATURE_INVALID`` or ``BUNDLE_INVALID``.
    """
    public_key = trusted_signers.get(signed.signer)
    if public_key is None:
        detail = f"signer {signed.signer!r} is not in trusted_signers"
        return Failure(Problem(ResultCode.BUNDLE_SIGNER_UNKNOWN, detail, "signer"))
    try:
        verifier = Ed25519PublicKey.from_public_bytes(bytes.fromhex(public_key))
        verifier.verify(signed.signature, _SIGNATURE_CONTEXT + signed.document)
        values = json.loads(signed.document)
    except (InvalidSignature, ValueError) as error:
        detail = (
            f"{type(error).__name__}: the document was changed after it was signed, "
            "or the document or the public key is malformed"
        )
        return Failure(Problem(ResultCode.BUNDLE_SIGNATURE_INVALID, detail, "signature"))
    return parse_bundle(values)
