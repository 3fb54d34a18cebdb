"""Steps for check-settings and the example settings."""

import json
import pathlib
import tempfile

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from bambookeel.tools import check_settings
from dev import write_conf

_CONF = pathlib.Path(__file__).parent.parent.parent / "conf"


@then("every file of conf passes check-settings and equals the generated one")
def check_conf(_context):
    paths = sorted(_CONF.glob("*/*.json"))
    for path in paths:
        assert not check_settings.check_file(str(path)), path
    # 3 control and 11 entry processes and one bundle for each deployment.
    assert len(paths) == 2 * (3 + 11 + 1), len(paths)
    with tempfile.TemporaryDirectory() as folder:
        write_conf.write_all(pathlib.Path(folder))
        for path in paths:
            fresh = pathlib.Path(folder) / path.relative_to(_CONF)
            assert fresh.read_bytes() == path.read_bytes(), path


def _check_text(text):
    with tempfile.NamedTemporaryFile("wb", suffix=".json") as file:
        file.write(text)
        file.flush()
        return check_settings.check_file(file.name)


@when("check-settings reads")
def read_settings(context):
    context.found = _check_text(context.text.encode())


@then('it reports faults at "{places}"')
def check_reported(context, places):
    found = sorted(fault.place for fault in context.found)
    assert found == sorted(places.split()), context.found


@then("random settings files give a record or faults with places")
def check_random_settings(_context):
    scalars = (
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(max_size=12)
    )
    fields = strategies.sampled_from(
        (
            "process_id",
            "api_listen",
            "callers_listen",
            "control",
            "entries",
            "links",
            "tls",
            "resources",
            "kind",
            "name",
            "spec",
        )
    )
    documents = strategies.recursive(
        scalars,
        lambda children: strategies.lists(children, max_size=3)
        | strategies.dictionaries(fields, children, max_size=6),
        max_leaves=15,
    )
    texts = strategies.binary(max_size=60) | documents.map(
        lambda document: json.dumps(document).encode()
    )

    @hypothesis.settings(max_examples=400)
    @hypothesis.given(texts)
    def run(text):
        for fault in _check_text(text):
            assert fault.place and fault.message, text

    run()
