"""Weighted shares of a service between teams, for when it is full.

While a team has less than its share, its tasks go before those of teams that
have more. What a team leaves of its share is free for the others.
"""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(slots=True)
class Shares:
    """What teams have of a service.

    Attributes:
        shares_milli: Processor time that each team with work may count on.
        used_milli: Processor time that each team has.
    """

    shares_milli: dict[str, float]
    used_milli: dict[str, int]

    @classmethod
    def from_weights(
        cls,
        capacity_milli: int,
        weights: Mapping[str, float],
        used_milli: Mapping[str, int],
    ) -> "Shares":
        """Divides a service's capacity by the teams' weights.

        Args:
            capacity_milli: Its processor time without standing tasks.
            weights: Weight of each team that has work there.
            used_milli: Processor time that each team has now.

        Returns:
            The shares.
        """
        total = sum(weights.values())
        shares = {
            team: capacity_milli * weight / total if total else 0.0
            for team, weight in weights.items()
        }
        return cls(shares, dict(used_milli))

    def is_below(self, team: str) -> bool:
        """Tells whether a team has less than its share.

        Args:
            team: The team.

        Returns:
            Whether it does; the next task may then lift it above.
        """
        used = self.used_milli.get(team, 0)
        return used < self.shares_milli.get(team, 0.0)

    def add_use(self, team: str, cpu_milli: int) -> None:
        """Counts what a team was given.

        Args:
            team: The team.
            cpu_milli: Processor time.
        """
        self.used_milli[team] = self.used_milli.get(team, 0) + cpu_milli
