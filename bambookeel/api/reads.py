"""Handles requests that get one resource or list the resources of a kind.

A list is sorted by name. It can be filtered by fields of the spec and by the
state in the status, and is paginated with `limit` and `after`.
"""

import dataclasses
import typing

import msgspec

from bambookeel.api import answers
from bambookeel.api import documents
from bambookeel.api import requests
from bambookeel.core import resources
from bambookeel.net import problem
from bambookeel.state import model

_MAX_LIMIT = 10_000
_LIST_PARAMETERS = ("stale", "limit", "after")
_STATE_FILTER = "state"


def get_resource(
    state: model.State, kind: resources.Kind, name: str
) -> problem.Response:
    """Builds the response for one resource.

    Args:
        state: The state to read.
        kind: The resource's kind.
        name: The resource's name.

    Returns:
        The response with the resource's version as its ETag, or status 404.
    """
    resource = state.by_key.get((kind, name))
    if resource is None:
        detail = f"no {kind.value} {name!r} at version {state.version}"
        return answers.build_response(answers.Refusal("404 Not Found", detail))
    document = documents.render_resource(resource)
    response = problem.build_json_response("200 OK", document)
    response.headers.append(("ETag", f'"{resource.version}"'))
    response.headers.append(("X-State-Version", str(state.version)))
    return response


def _check_filters(
    request: requests.Request, kind: resources.Kind
) -> dict[str, str] | answers.Refusal:
    """Reads the filters of a list from the query.

    Args:
        request: Request with the query.
        kind: The kind to list.

    Returns:
        Expected values by name of the field, or a refusal that names an
        unknown field.
    """
    spec_type = resources.SPEC_TYPES[kind]
    known = [field.name for field in dataclasses.fields(spec_type)]
    known = [name for name in known if not name.endswith("_hex")]
    filters = {}
    for name, value in request.query.items():
        if name in _LIST_PARAMETERS:
            continue
        if name not in known and name != _STATE_FILTER:
            accepted = ", ".join([*known, _STATE_FILTER, *_LIST_PARAMETERS])
            return answers.refuse_value("query", name, accepted)
        filters[name] = value
    return filters


def _read_limit(request: requests.Request) -> int | answers.Refusal:
    text = request.query.get("limit", str(_MAX_LIMIT))
    if text.isascii() and text.isdigit() and 0 < len(text) < 9:
        if 1 <= int(text) <= _MAX_LIMIT:
            return int(text)
    return answers.refuse_value("limit", text, f"1 to {_MAX_LIMIT}")


def _render_value(value: typing.Any) -> str:
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode("utf-8")


def _matches(resource: resources.Resource, filters: dict[str, str]) -> bool:
    for name, expected in filters.items():
        if hasattr(resource.spec, name):
            value = _render_value(getattr(resource.spec, name))
        else:
            value = resource.status.state
        if value != expected:
            return False
    return True


def list_resources(
    state: model.State, kind: resources.Kind, request: requests.Request
) -> problem.Response:
    """Builds the response for a list of the resources of one kind.

    Args:
        state: The state to read.
        kind: The kind to list.
        request: Request with the filters and the page.

    Returns:
        The response with the version of the state, and with the name after
        which the next page starts if there is one; or a refusal.
    """
    filters = _check_filters(request, kind)
    if isinstance(filters, answers.Refusal):
        return answers.build_response(filters)
    limit = _read_limit(request)
    if isinstance(limit, answers.Refusal):
        return answers.build_response(limit)
    after = request.query.get("after", "")
    found = [
        resource
        for (resource_kind, name), resource in state.by_key.items()
        if resource_kind is kind
        and name > after
        and _matches(resource, filters)
    ]
    found.sort(key=lambda resource: resource.name)
    page = found[:limit]
    document: dict[str, typing.Any] = {
        "version": state.version,
        "stale": request.has_flag("stale"),
        "items": [documents.render_resource(resource) for resource in page],
    }
    if len(page) < len(found):
        document["next"] = page[-1].name
    return problem.build_json_response("200 OK", document)
