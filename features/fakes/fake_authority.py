"""A certificate authority of a deployment, for tests."""

import datetime

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

_VALID_FROM = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
_VALID_UNTIL = datetime.datetime(2120, 1, 1, tzinfo=datetime.UTC)


class FakeAuthority:
    """Issues certificates that are signed with its own key."""

    def __init__(self, name):
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = (
            self._build_certificate(self._name, self._key)
            .add_extension(x509.BasicConstraints(True, None), critical=True)
            .sign(self._key, hashes.SHA256())
        )

    def _build_certificate(self, subject, key):
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(_VALID_FROM)
            .not_valid_after(_VALID_UNTIL)
        )

    def get_pem(self):
        """Returns the authority's own certificate as PEM."""
        return self._certificate.public_bytes(serialization.Encoding.PEM)

    def issue_certificate(self, name):
        """Returns a certificate for a process id and its key, both as PEM."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        names = x509.SubjectAlternativeName([x509.DNSName(name)])
        certificate = (
            self._build_certificate(subject, key)
            .add_extension(names, critical=False)
            .sign(self._key, hashes.SHA256())
        )
        pem = serialization.Encoding.PEM
        return certificate.public_bytes(pem), key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
