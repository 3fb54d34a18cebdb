"""Answers dispatchers' reports with allotments of the teams' limits.

Only the leader answers, within its own lease, and only the current holder of a
service gets an answer. The allotments are computed in `dispatch.allotments`.
The planner may report the tasks of a pool's jobs through the mailbox, as a
service named `jobs/POOL`.
"""

from bambookeel.control import events
from bambookeel.control import job_allotments
from bambookeel.control import replica_task
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.core import settings as core_settings
from bambookeel.dispatch import allotments
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from bambookeel.state import model


class AllotmentTask:
    """Owns the leader's ledger of the teams' limits."""

    def __init__(
        self,
        process_id: ids.ProcessId,
        leases: core_settings.LeaseTimings,
        replica: replica_task.ReplicaTask,
        send: replica_task.SendMessage,
        has_jobs: bool = False,
    ) -> None:
        self.mailbox = mailbox.Mailbox("allotments")
        self._process_id = process_id
        self._leases = leases
        self._replica = replica
        self._send = send
        # Whether the planner runs tasks that count against the limits.
        self._has_jobs = has_jobs
        self._ledger = allotments.AllotmentLedger()
        self._inputs: allotments.AllotmentInputs | None = None
        self._holders: dict[ids.ServiceName, ids.ProcessId] = {}
        self._inputs_version = ids.StateVersion(0)

    def run(self) -> None:
        """Handles messages until the task is killed."""
        while True:
            self._handle(self.mailbox.get())

    def _handle(self, event: object) -> None:
        match event:
            case events.FromPeer(peer, messages.AllotmentRequest() as request):
                self._answer(peer, request)

    def _answer(
        self, peer: ids.ProcessId, request: messages.AllotmentRequest
    ) -> None:
        """Answers a report if this replica is the leader within its lease.

        Args:
            peer: The process that sent the report.
            request: The report; services that the process does not hold are
                ignored.
        """
        current = self._replica.view
        if not current.leads(clock.read_now_ms()):
            return
        if self._ledger.term != current.term:
            allotments.become_leader(self._ledger, current.term)
            logs.log_event("allotments_start", term=current.term)
        inputs = self._read_inputs(current.state)
        services = tuple(
            report
            for report in request.services
            if self._is_holder(inputs, peer, report)
        )
        checked = messages.AllotmentRequest(
            request.nonce, request.demands, services, request.answered_term
        )
        reply = allotments.handle_request(
            self._ledger, inputs, checked, self._leases.allotment_ms
        )
        if reply is not None:
            self._send(peer, reply)

    def _is_holder(
        self,
        inputs: allotments.AllotmentInputs,
        peer: ids.ProcessId,
        report: messages.ServiceReport,
    ) -> bool:
        if report.service.startswith(allotments.JOBS_PREFIX):
            return peer == self._process_id
        if inputs.epochs.get(report.service) != report.epoch:
            return False
        return self._holders.get(report.service) == peer

    def _read_inputs(self, state: model.State) -> allotments.AllotmentInputs:
        """Reads limits, epochs and holders from the replicated state.

        Args:
            state: The replicated state.

        Returns:
            Limits and epochs; read again only if the state's version has
            changed.
        """
        if self._inputs is not None and self._inputs_version == state.version:
            return self._inputs
        limits: dict[ids.TeamName, int] = {}
        epochs: dict[ids.ServiceName, ids.Epoch] = {}
        self._holders = {}
        for (_, name), resource in state.by_key.items():
            match resource.spec:
                case resources.TeamSpec(upper_limit=upper_limit):
                    limits[ids.TeamName(name)] = upper_limit
                case resources.DispatcherSpec(holder=holder, epoch=epoch):
                    is_declared = (resources.Kind.SERVICE, name) in state.by_key
                    if not holder or not is_declared:
                        continue
                    service = ids.ServiceName(name)
                    epochs[service] = ids.Epoch(epoch)
                    self._holders[service] = ids.ProcessId(holder)
        if self._has_jobs:
            # As long as the planner has not reported its tasks, the ledger
            # raises no allotment.
            epochs[job_allotments.JOBS_SERVICE] = allotments.FIRST_EPOCH
        self._inputs = allotments.AllotmentInputs(limits, epochs)
        self._inputs_version = state.version
        return self._inputs
