"""Steps on the freshness of an entry's key table."""

import pathlib
import tempfile
from unittest import mock

from behave import given
from behave import then
from behave import when

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.entry import freshness
from bambookeel.entry import version_file
from bambookeel.entry import view
from bambookeel.state import keys
from bambookeel.state import model


@given(
    "a freshness lease of {lease_ms:d} ms with version {floor:d} applied before"
    " a restart"
)
def build_freshness(context, lease_ms, floor):
    context.freshness = freshness.Freshness(lease_ms, floor)


@when(
    "a heartbeat sent at {sent_at_ms:d} is answered with version {committed:d}"
    " while the view has {applied:d}"
)
def confirm_heartbeat(context, sent_at_ms, committed, applied):
    freshness.handle_confirmation(
        context.freshness, sent_at_ms, committed, applied
    )


@when("the view reaches version {version:d}")
def reach_version(context, version):
    freshness.handle_applied_version(context.freshness, version)


@then("the key table is fresh until {until_ms:d}")
def check_until(context, until_ms):
    assert context.freshness.until_ms == until_ms, context.freshness


@when("versions 3 and 8 are stored and the folder is read again")
def store_versions(context):
    with tempfile.TemporaryDirectory() as folder:
        data_folder = str(pathlib.Path(folder) / "data")
        stored = version_file.VersionFile(data_folder)
        assert stored.load() == 0
        for version in (3, 8):
            stored.store(ids.StateVersion(version))
        context.loaded = version_file.VersionFile(data_folder).load()
        context.files = list(pathlib.Path(data_folder).iterdir())


@then("the stored version is 8 and no other file remains")
def check_stored(context):
    assert context.loaded == 8
    assert len(context.files) == 1, context.files


def _build_stored_key(key, version, withdrawn=False):
    return model.StoredResource(
        resources.Kind.KEY,
        key.key_id,
        version,
        version,
        {
            "team": key.spec.team,
            "salt_hex": key.spec.salt_hex,
            "hash_hex": key.spec.hash_hex,
            "withdrawn": withdrawn,
        },
        resources.Status(),
    )


@given("a view with a key of team coach")
def build_key_view(context):
    context.key = keys.create_key(ids.KeyId("coach-1"), team="coach")
    context.view = view.build_view(1, (_build_stored_key(context.key, 1),))


@when("its secret is verified twice")
def verify_twice(context):
    with mock.patch.object(
        keys, "hash_secret", wraps=keys.hash_secret
    ) as hash_secret:
        for _ in range(2):
            assert view.find_team(context.view, context.key.secret) == "coach"
        # The next view has the same keys and shares the cache.
        context.view = view.apply_changes(context.view, 2, ())
        assert view.find_team(context.view, context.key.secret) == "coach"
    context.hash_count = hash_secret.call_count


@then("it is hashed once")
def check_hash_count(context):
    assert context.hash_count == 1, context.hash_count


@when("the key is withdrawn")
def withdraw_key(context):
    changed = (_build_stored_key(context.key, 3, withdrawn=True),)
    context.view = view.apply_changes(context.view, 3, ((3, changed),))


@then("the secret is rejected")
def check_withdrawn(context):
    assert view.find_team(context.view, context.key.secret) is None


@given("a view with {number:d} keys")
def build_many_keys(context, number):
    context.keys = [
        keys.create_key(ids.KeyId(f"key-{i}"), team="coach")
        for i in range(number)
    ]
    context.view = view.build_view(
        1, tuple(_build_stored_key(key, 1) for key in context.keys)
    )


@when("every secret is verified")
def verify_all(context):
    for key in context.keys:
        assert view.find_team(context.view, key.secret) == "coach"


@then("at most {number:d} verified secrets are cached")
def check_cache_size(context, number):
    assert len(context.view.team_by_secret) <= number
