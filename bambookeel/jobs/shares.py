"""Weighted shares of a service's capacity, used while the service is full.

While a team uses less than its share, its tasks go before those of teams that
use more than theirs. Capacity that a team does not use is available to the
others.
"""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(slots=True)
class Shares:
    """Shares and usage of the teams in one service.

    Attributes:
        shares_milli: Share of each team with work there, in thousandths of a
            core.
        used_milli: Processor time that each team uses, in thousandths of a
            core.
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
        """Divides a service's capacity in proportion to the teams' weights.

        Args:
            capacity_milli: Processor time of the service without standing
                tasks, in thousandths of a core.
            weights: Weight of each team that has work there.
            used_milli: Processor time that each team uses now.

        Returns:
            Shares in proportion to the weights.
        """
        total = sum(weights.values())
        shares = {
            team: capacity_milli * weight / total if total else 0.0
            for team, weight in weights.items()
        }
        return cls(shares, dict(used_milli))

    def is_below(self, team: str) -> bool:
        """Returns whether a team uses less than its share.

        Args:
            team: Name of the team.

        Returns:
            Whether it does, however little is missing; the team's next task may
            exceed the share.
        """
        used = self.used_milli.get(team, 0)
        return used < self.shares_milli.get(team, 0.0)

    def add_use(self, team: str, cpu_milli: int) -> None:
        """Adds processor time that a team has been given.

        Args:
            team: Name of the team.
            cpu_milli: Processor time in thousandths of a core.
        """
        self.used_milli[team] = self.used_milli.get(team, 0) + cpu_milli
