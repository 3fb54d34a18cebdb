"""Draws configurations for the random check of the job interface.

Callers know a place (host and path) and a key. Queues and teams change their
names, places and keys from version to version, and all versions are kept, since
the rules go by those that may be in force.
"""

import collections
import dataclasses

from bambookeel.configuration import document as configuration
from bambookeel.jobs import specs

HOST = "jobs.example"
SERVICES = ("pack", "sort")
_PATHS = ("/a/", "/b/", "/c/", "/d/")
# Places of queues that are added later.
_LATER_PATHS = ("/e/", "/f/", "/g/")
_CAP_MILLI = 6_000


@dataclasses.dataclass
class Route:
    """A queue, whatever its present name; `path` is empty while removed."""

    name: str
    path: str
    service: str
    max_attempts: int = 3
    home: str = ""


@dataclasses.dataclass
class Account:
    """A team, whatever its present name; its first key always stays its own."""

    name: str
    keys: tuple[str, ...]
    cap_milli: int = 0
    is_present: bool = True


class Site:
    """The configuration in force, and what earlier versions allowed.

    Attributes:
        version: Version in force.
        routes: All queues.
        accounts: All teams.
        withdrawn: Keys that no team holds any more.
        moved_paths: Places that were not always those of the same queue, so
            that callers cannot tell to which queue a job belongs.
        attempts: Time and limits on the attempts that came into force then, by
            path.
        caps: Time and caps that came into force then, by account.
        services: Services to which any version sends a place.
    """

    def __init__(self):
        self.version = 1
        self.routes = [
            Route("q0", "/a/", "pack", home="/a/"),
            Route("q1", "/b/", "pack", home="/b/"),
            Route("q2", "/c/", "sort", home="/c/"),
        ]
        self.accounts = [
            Account("t0", ("key-0", "spare-0")),
            Account("t1", ("key-1", "spare-1")),
            Account("t2", ("key-2",)),
        ]
        self.withdrawn = set()
        self.moved_paths = set()
        self.attempts = {}
        self.caps = {}
        self.services = collections.defaultdict(set)
        self._next_name = 0

    def build_document(self):
        """Builds the configuration of the present version."""
        return configuration.Document(
            self.version,
            tuple(
                configuration.Queue(
                    route.name,
                    HOST,
                    route.path,
                    route.service,
                    3_000,
                    3_600.0,
                    1.6,
                    0,
                    route.max_attempts,
                )
                for route in self.routes
                if route.path
            ),
            tuple(configuration.Service(name, True) for name in SERVICES),
            tuple(
                configuration.Team(
                    account.name,
                    account.keys,
                    1.0,
                    specs.Resources(account.cap_milli, 0, 0),
                )
                for account in self.accounts
                if account.is_present
            ),
            b"{}",
        )

    def find_route(self, path):
        """Returns the queue at a place, or None."""
        return next((r for r in self.routes if r.path == path), None)

    def note(self, now_ms):
        """Notes the limits of the version that comes into force."""
        for route in self.routes:
            if route.path:
                known = self.attempts.setdefault(route.path, [])
                known.append((now_ms, route.max_attempts))
                self.services[route.path].add(route.service)
        for number, account in enumerate(self.accounts):
            cap = account.cap_milli if account.is_present else 0
            self.caps.setdefault(number, []).append((now_ms, cap))

    def change(self, source):
        """Changes one thing and returns what it was, for the trace."""
        self.version += source.randrange(1, 4)
        name, change = source.choice(_CHANGES)
        return f"{name}: {change(self, source)}"

    def change_identity(self, source):
        """Changes which queues or teams there are, or what they are called."""
        self.version += source.randrange(1, 4)
        name, change = source.choice(_IDENTITY_CHANGES)
        return f"{name}: {change(self, source)}"

    def restore(self):
        """Puts all queues and teams back in force, without caps."""
        self.version += 1
        for route in self.routes:
            route.path = route.home
        for account in self.accounts:
            account.is_present = True
            account.cap_milli = 0

    def _make_name(self, first):
        self._next_name += 1
        return f"{first}new{self._next_name}"

    def _rename_route(self, source):
        route = source.choice(self.routes)
        before, route.name = route.name, self._make_name("q")
        return f"{before} at {route.path} is {route.name}"

    def _swap_routes(self, source):
        one, other = source.sample(self.routes, 2)
        one.name, other.name = other.name, one.name
        return f"{one.name} and {other.name}"

    def _move_route(self, source):
        route = source.choice([r for r in self.routes if r.path] or self.routes)
        taken = {r.path for r in self.routes} | {r.home for r in self.routes}
        free = [p for p in _PATHS if p not in taken]
        if not free or not route.path:
            return "none"
        before, route.path = route.path, free[0]
        route.home = route.path
        self.moved_paths |= {before, free[0]}
        return f"{route.name} from {before} to {route.path}"

    def _remove_route(self, source):
        route = source.choice(self.routes)
        if route.path:
            route.path = ""
            return f"{route.name} is removed"
        route.path = route.home
        if source.random() < 0.5:
            route.name = self._make_name("q")
        return f"{route.name} is back at {route.path}"

    def _change_attempts(self, source):
        route = source.choice(self.routes)
        route.max_attempts = source.randrange(1, 5)
        return f"{route.name} {route.max_attempts}"

    def _rename_team(self, source):
        account = source.choice(self.accounts)
        before, account.name = account.name, self._make_name("t")
        return f"{before} is {account.name}"

    def _swap_teams(self, source):
        one, other = source.sample(self.accounts, 2)
        one.name, other.name = other.name, one.name
        return f"{one.name} and {other.name}"

    def _remove_team(self, source):
        account = source.choice(self.accounts)
        account.is_present = not account.is_present
        if account.is_present and source.random() < 0.5:
            account.name = self._make_name("t")
        return f"{account.name} {'back' if account.is_present else 'removed'}"

    def _move_key(self, source):
        one, other = source.sample(self.accounts, 2)
        # Nobody can tell the key of a removed team from a renamed team.
        if len(one.keys) < 2 or not (one.is_present and other.is_present):
            return "none"
        key = one.keys[-1]
        one.keys = one.keys[:-1]
        other.keys += (key,)
        return f"{key} from {one.name} to {other.name}"

    def _withdraw_key(self, source):
        account = source.choice(self.accounts)
        if len(account.keys) < 2:
            self._next_name += 1
            account.keys += (f"key-later-{self._next_name}",)
            return f"{account.name} gets {account.keys[-1]}"
        key = account.keys[-1]
        account.keys = account.keys[:-1]
        self.withdrawn.add(key)
        return f"{key} of {account.name}"

    def _change_cap(self, source):
        account = source.choice(self.accounts)
        account.cap_milli = source.choice([0, _CAP_MILLI, 2 * _CAP_MILLI])
        return f"{account.name} {account.cap_milli}"

    def _remove_all(self, source):
        """Removes all queues, or all teams, in one version."""
        if source.random() < 0.5:
            for route in self.routes:
                route.path = ""
            return "queues"
        for account in self.accounts:
            account.is_present = False
        return "teams"

    def _return_route(self, source):
        removed = [route for route in self.routes if not route.path]
        if not removed:
            return "none"
        route = source.choice(removed)
        route.path = route.home
        return f"{self._name_again(self.routes, route, source)} at {route.path}"

    def _return_team(self, source):
        removed = [each for each in self.accounts if not each.is_present]
        if not removed:
            return "none"
        account = source.choice(removed)
        account.is_present = True
        name = self._name_again(self.accounts, account, source)
        return f"{name} with {account.keys}"

    def _name_again(self, entries, entry, source):
        """Gives a queue or team that is back its own name, or any other."""
        other = source.choice(entries)
        kind = source.choice(["own", "exchanged", "shared", "new"])
        if kind == "exchanged":
            entry.name, other.name = other.name, entry.name
        elif kind == "shared":
            entry.name = other.name
        elif kind == "new":
            entry.name = self._make_name("n")
        return f"{kind} name {entry.name}"

    def _add_route(self, source):
        """Adds a queue at a new place under a name that there was before."""
        taken = {route.home for route in self.routes}
        free = [path for path in _LATER_PATHS if path not in taken]
        if not free:
            return "none"
        name = source.choice(self.routes).name
        service = source.choice(SERVICES)
        self.routes.append(Route(name, free[0], service, home=free[0]))
        return f"{name} at {free[0]}"

    def _add_team(self, source):
        """Adds a team with a new key under a name that there was before."""
        if len(self.accounts) > 5:
            return "none"
        name = source.choice(self.accounts).name
        key = f"key-{len(self.accounts)}"
        self.accounts.append(Account(name, (key,)))
        return f"{name} with {key}"


# pylint: disable=protected-access
_IDENTITY_CHANGES = (
    ("remove all", Site._remove_all),
    ("return route", Site._return_route),
    ("return route", Site._return_route),
    ("return team", Site._return_team),
    ("return team", Site._return_team),
    ("add route", Site._add_route),
    ("add team", Site._add_team),
    ("move route", Site._move_route),
    ("move key", Site._move_key),
)
_CHANGES = (
    ("rename route", Site._rename_route),
    ("swap routes", Site._swap_routes),
    ("move route", Site._move_route),
    ("remove route", Site._remove_route),
    ("attempts", Site._change_attempts),
    ("rename team", Site._rename_team),
    ("swap teams", Site._swap_teams),
    ("remove team", Site._remove_team),
    ("move key", Site._move_key),
    ("withdraw key", Site._withdraw_key),
    ("cap", Site._change_cap),
)
