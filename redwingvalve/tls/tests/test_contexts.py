"""Certificates are replaced while connections are served."""

import datetime
import ssl

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from redwingvalve.settings import schema
from redwingvalve.tls import contexts


def write_certificate(folder, common_name, parts=('certificate', 'key')):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, common_name)])
    now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now)
        .not_valid_after(now + datetime.timedelta(days=36500))
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), True)
        .sign(key, hashes.SHA256())
    )
    if 'certificate' in parts:
        (folder / 'certificate.pem').write_bytes(
            certificate.public_bytes(serialization.Encoding.PEM)
        )
    if 'key' in parts:
        (folder / 'key.pem').write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )


def settings_in(folder):
    return schema.TlsSettings(
        str(folder / 'certificate.pem'),
        str(folder / 'key.pem'),
        str(folder / 'certificate.pem'),
    )


def handshake(server_context, client_context):
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    server = server_context.wrap_bio(to_server, to_client, server_side=True)
    client = client_context.wrap_bio(to_client, to_server)
    for _ in range(4):
        for side in (client, server):
            try:
                side.do_handshake()
            except ssl.SSLWantReadError:
                continue
    return client.getpeercert(binary_form=True)


def test_a_replaced_pair_is_used_by_new_handshakes(tmp_path):
    """A caller that connects after a renewal sees the new certificate.

    The pair is replaced while the server runs; nothing is restarted.
    """
    write_certificate(tmp_path, 'first')
    server = contexts.make_server_context(settings_in(tmp_path), mutual=True).ok
    client = contexts.make_client_context(settings_in(tmp_path)).ok
    before = handshake(server.context, client.context)
    assert not server.reload_if_changed()
    write_certificate(tmp_path, 'second-name')
    assert server.reload_if_changed()
    assert client.reload_if_changed()
    assert handshake(server.context, client.context) != before


def test_a_half_replaced_pair_leaves_the_old_one_in_force(tmp_path):
    """A caller that connects between the two writes is still served.

    The certificate is written, the key is not yet; they do not fit, so the
    old pair stays until both are there.
    """
    write_certificate(tmp_path, 'first')
    server = contexts.make_server_context(
        settings_in(tmp_path), mutual=False
    ).ok
    client = contexts.make_client_context(settings_in(tmp_path)).ok
    before = handshake(server.context, client.context)
    write_certificate(tmp_path, 'second-name', parts=('certificate',))
    assert not server.reload_if_changed()
    assert handshake(server.context, client.context) == before


def test_unusable_files_are_a_finding_with_the_file_name(tmp_path):
    found = contexts.make_server_context(settings_in(tmp_path), mutual=False)
    assert str(tmp_path / 'certificate.pem') in str(found.error)
