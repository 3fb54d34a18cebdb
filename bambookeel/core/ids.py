"""Identifier and counter types.

Each id is a `NewType`, so that the type checker distinguishes a team from a
service while both are plain strings at run time. All other modules import their
id types from here; this module imports no other module of the project.
"""

from typing import NewType

# Processes and locations.
ProcessId = NewType("ProcessId", str)
# A control replica with its disk, as `process/disk`; a replica whose disk was
# wiped has a new id.
MemberId = NewType("MemberId", str)
DataCentre = NewType("DataCentre", str)
Rack = NewType("Rack", str)
# Identifies one run of a process or backend server from its start to its end;
# each restart has a larger number.
Incarnation = NewType("Incarnation", int)

# Who submits work and who operates the system.
TeamName = NewType("TeamName", str)
KeyId = NewType("KeyId", str)
OperatorName = NewType("OperatorName", str)

# Where work runs.
ServiceName = NewType("ServiceName", str)
BackendId = NewType("BackendId", str)
PoolName = NewType("PoolName", str)
InstanceName = NewType("InstanceName", str)
WaveName = NewType("WaveName", str)
JobName = NewType("JobName", str)
TaskId = NewType("TaskId", str)

# Requests and commands.
RequestId = NewType("RequestId", str)
GrantId = NewType("GrantId", int)
CommandId = NewType("CommandId", str)
IdempotencyKey = NewType("IdempotencyKey", str)

# Counters that never decrease.
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
# The log index of the last command that changed the state.
StateVersion = NewType("StateVersion", int)
# Increases with each new holder of a service's dispatch lease.
Epoch = NewType("Epoch", int)
LinkNumber = NewType("LinkNumber", int)
