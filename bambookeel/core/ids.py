"""Identifier and counter types.

Each id is a `NewType`, so that the type checker tells a team from a service
while both stay plain strings at run time. Every other module takes its ids
from here; this module depends on nothing.
"""

from typing import NewType

# Processes and places.
ProcessId = NewType("ProcessId", str)
# One control replica with one disk: `process/disk`; a wiped disk gives another.
MemberId = NewType("MemberId", str)
DataCentre = NewType("DataCentre", str)
Rack = NewType("Rack", str)
# One life of a process or backend server; a restart takes a larger number.
Incarnation = NewType("Incarnation", int)

# Those who hand in work.
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

# Counters that only grow.
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
# The log index of the last command that changed the state.
StateVersion = NewType("StateVersion", int)
# Grows with each new holder of one service's dispatch lease.
Epoch = NewType("Epoch", int)
LinkNumber = NewType("LinkNumber", int)
