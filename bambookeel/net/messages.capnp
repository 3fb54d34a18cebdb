@0xb3c1f5e2d4a69788;
# Written by bambookeel.tools.generate_schema; see core/messages.py.

struct Envelope {
  union {
    hello @0 :Hello;
    linkHeartbeat @1 :LinkHeartbeat;
    voteRequest @2 :VoteRequest;
    voteReply @3 :VoteReply;
    appendRequest @4 :AppendRequest;
    appendReply @5 :AppendReply;
    snapshotPart @6 :SnapshotPart;
    snapshotPartReply @7 :SnapshotPartReply;
    timeoutNow @8 :TimeoutNow;
    propose @9 :Propose;
    proposeReply @10 :ProposeReply;
    readIndexRequest @11 :ReadIndexRequest;
    readIndexReply @12 :ReadIndexReply;
    subscribe @13 :Subscribe;
    changeBatch @14 :ChangeBatch;
    entryHeartbeat @15 :EntryHeartbeat;
    entryHeartbeatReply @16 :EntryHeartbeatReply;
    allotmentRequest @17 :AllotmentRequest;
    allotmentReply @18 :AllotmentReply;
    backendAnnouncement @19 :BackendAnnouncement;
    acquireSlot @20 :AcquireSlot;
    slotGranted @21 :SlotGranted;
    slotRefused @22 :SlotRefused;
    slotDuplicate @23 :SlotDuplicate;
    slotReleased @24 :SlotReleased;
    cancelWaiting @25 :CancelWaiting;
    recoverRequest @26 :RecoverRequest;
    recoverReply @27 :RecoverReply;
    fetchAnswer @28 :FetchAnswer;
    answerCopy @29 :AnswerCopy;
    replicaIdentity @30 :ReplicaIdentity;
    keepRecords @31 :KeepRecords;
    recordsKept @32 :RecordsKept;
    recordsRequest @33 :RecordsRequest;
    recordsReply @34 :RecordsReply;
    replicaRetired @35 :ReplicaRetired;
    leaderCall @36 :LeaderCall;
    leaderAnswer @37 :LeaderAnswer;
    leaderQuestion @38 :LeaderQuestion;
    leaderKnown @39 :LeaderKnown;
    replicaLeaving @40 :ReplicaLeaving;
  }
}

struct Hello {
  processId @0 :Text;
  role @1 :UInt16;
  dataCentre @2 :Text;
  incarnation @3 :Int64;
  linkNumber @4 :Int64;
}

struct LinkHeartbeat {
  sequence @0 :Int64;
}

struct VoteRequest {
  term @0 :Int64;
  candidate @1 :Text;
  lastIndex @2 :Int64;
  lastTerm @3 :Int64;
  isPreVote @4 :Bool;
  isHandOver @5 :Bool;
}

struct VoteReply {
  term @0 :Int64;
  voter @1 :Text;
  granted @2 :Bool;
  isPreVote @3 :Bool;
}

struct AppendRequest {
  term @0 :Int64;
  leader @1 :Text;
  previousIndex @2 :Int64;
  previousTerm @3 :Int64;
  entries @4 :List(LogEntry);
  commitIndex @5 :Int64;
  roundNumber @6 :Int64;
}

struct AppendReply {
  term @0 :Int64;
  follower @1 :Text;
  success @2 :Bool;
  matchIndex @3 :Int64;
  roundNumber @4 :Int64;
}

struct SnapshotPart {
  term @0 :Int64;
  leader @1 :Text;
  lastIndex @2 :Int64;
  lastTerm @3 :Int64;
  offset @4 :Int64;
  data @5 :Data;
  isLast @6 :Bool;
  roundNumber @7 :Int64;
}

struct SnapshotPartReply {
  term @0 :Int64;
  follower @1 :Text;
  lastIndex @2 :Int64;
  nextOffset @3 :Int64;
  roundNumber @4 :Int64;
}

struct TimeoutNow {
  term @0 :Int64;
  leader @1 :Text;
}

struct Propose {
  commandId @0 :Text;
  payload @1 :Data;
}

struct ProposeReply {
  commandId @0 :Text;
  status @1 :UInt16;
  leader @2 :Text;
  payload @3 :Data;
}

struct ReadIndexRequest {
  nonce @0 :Int64;
}

struct ReadIndexReply {
  nonce @0 :Int64;
  confirmed @1 :Bool;
  index @2 :Int64;
  leader @3 :Text;
}

struct Subscribe {
  fromVersion @0 :Int64;
  subscription @1 :Int64;
}

struct ChangeBatch {
  isSnapshot @0 :Bool;
  isLast @1 :Bool;
  toVersion @2 :Int64;
  changes @3 :List(StateChange);
  subscription @4 :Int64;
}

struct EntryHeartbeat {
  nonce @0 :Int64;
  appliedVersion @1 :Int64;
  stopping @2 :Bool;
  held @3 :List(HeldLease);
}

struct EntryHeartbeatReply {
  nonce @0 :Int64;
  isLeader @1 :Bool;
  leader @2 :Text;
  committedVersion @3 :Int64;
  leaseMs @4 :Int64;
  renewed @5 :List(HeldLease);
}

struct AllotmentRequest {
  nonce @0 :Int64;
  demands @1 :List(TeamDemand);
  services @2 :List(ServiceReport);
  answeredTerm @3 :Int64;
}

struct AllotmentReply {
  nonce @0 :Int64;
  leaseMs @1 :Int64;
  allotments @2 :List(Allotment);
  term @3 :Int64;
  services @4 :List(ServiceReport);
}

struct BackendAnnouncement {
  service @0 :Text;
  backendId @1 :Text;
  address @2 :Text;
  incarnation @3 :Int64;
  sequence @4 :Int64;
  state @5 :UInt16;
  slots @6 :Int64;
  connections @7 :Int64;
  leaseMs @8 :Int64;
  ageMs @9 :Int64;
  running @10 :Int64;
  hops @11 :Int64;
}

struct AcquireSlot {
  requestId @0 :Text;
  service @1 :Text;
  team @2 :Text;
  urgent @3 :Bool;
  remainingMs @4 :Int64;
  idempotencyKey @5 :Text;
  waitedMs @6 :Int64;
}

struct SlotGranted {
  requestId @0 :Text;
  service @1 :Text;
  epoch @2 :Int64;
  grantId @3 :Int64;
  backendId @4 :Text;
  address @5 :Text;
  incarnation @6 :Int64;
  startWithinMs @7 :Int64;
  connectionAllowance @8 :Int64;
  waitedMs @9 :Int64;
}

struct SlotRefused {
  requestId @0 :Text;
  service @1 :Text;
  reason @2 :UInt16;
  detail @3 :Text;
  retryAfterMs @4 :Int64;
}

struct SlotDuplicate {
  requestId @0 :Text;
  service @1 :Text;
  firstRequestId @2 :Text;
  firstEntry @3 :Text;
  finished @4 :Bool;
}

struct SlotReleased {
  requestId @0 :Text;
  service @1 :Text;
  epoch @2 :Int64;
  grantId @3 :Int64;
  outcome @4 :UInt16;
  backendFault @5 :Bool;
  durationMs @6 :Int64;
  holdMs @7 :Int64;
}

struct CancelWaiting {
  service @0 :Text;
  requestIds @1 :List(Text);
}

struct RecoverRequest {
  service @0 :Text;
  epoch @1 :Int64;
}

struct RecoverReply {
  service @0 :Text;
  epoch @1 :Int64;
  outstanding @2 :List(OutstandingRequest);
  announcements @3 :List(BackendAnnouncement);
  records @4 :List(IdempotencyRecord);
}

struct FetchAnswer {
  requestId @0 :Text;
  firstRequestId @1 :Text;
  fingerprint @2 :Int64;
}

struct AnswerCopy {
  requestId @0 :Text;
  found @1 :Bool;
  status @2 :Int64;
  headers @3 :List(AnswerHeader);
  body @4 :Data;
  outcome @5 :UInt16;
  isOtherRequest @6 :Bool;
}

struct ReplicaIdentity {
  member @0 :Text;
  hasMembership @1 :Bool;
  wantsReply @2 :Bool;
}

struct KeepRecords {
  service @0 :Text;
  epoch @1 :Int64;
  nonce @2 :Int64;
  records @3 :List(IdempotencyRecord);
  incompleteMs @4 :Int64;
  restored @5 :Bool;
}

struct RecordsKept {
  service @0 :Text;
  epoch @1 :Int64;
  nonce @2 :Int64;
}

struct RecordsRequest {
  service @0 :Text;
  epoch @1 :Int64;
}

struct RecordsReply {
  service @0 :Text;
  epoch @1 :Int64;
  uptimeMs @2 :Int64;
  records @3 :List(IdempotencyRecord);
  incompleteMs @4 :Int64;
  restored @5 :Bool;
}

struct ReplicaRetired {
  member @0 :Text;
}

struct LeaderCall {
  number @0 :Int64;
  payload @1 :Data;
}

struct LeaderAnswer {
  number @0 :Int64;
  payload @1 :Data;
}

struct LeaderQuestion {
  nonce @0 :Int64;
}

struct LeaderKnown {
  nonce @0 :Int64;
  leader @1 :Text;
  term @2 :Int64;
  isCertain @3 :Bool;
  voters @4 :List(Text);
  limits @5 :List(ClientLimits);
}

struct ReplicaLeaving {
  member @0 :Text;
}

struct LogEntry {
  term @0 :Int64;
  index @1 :Int64;
  isMembership @2 :Bool;
  payload @3 :Data;
}

struct StateChange {
  version @0 :Int64;
  payload @1 :Data;
}

struct HeldLease {
  service @0 :Text;
  epoch @1 :Int64;
  released @2 :Bool;
}

struct TeamDemand {
  team @0 :Text;
  service @1 :Text;
  running @2 :Int64;
  waiting @3 :Int64;
  held @4 :Int64;
}

struct Allotment {
  team @0 :Text;
  service @1 :Text;
  amount @2 :Int64;
  earlier @3 :Int64;
}

struct OutstandingRequest {
  requestId @0 :Text;
  team @1 :Text;
  backendId @2 :Text;
  incarnation @3 :Int64;
  epoch @4 :Int64;
  grantId @5 :Int64;
  remainingMs @6 :Int64;
  idempotencyKey @7 :Text;
}

struct IdempotencyRecord {
  idempotencyKey @0 :Text;
  requestId @1 :Text;
  entry @2 :Text;
  finished @3 :Bool;
  outcome @4 :UInt16;
  remainingMs @5 :Int64;
}

struct AnswerHeader {
  name @0 :Text;
  value @1 :Text;
}

struct ServiceReport {
  service @0 :Text;
  epoch @1 :Int64;
  complete @2 :Bool;
}

struct ClientLimits {
  maxHeaderBytes @0 :Int64;
  maxBodyBytes @1 :Int64;
  headerTimeoutMs @2 :Int64;
  idleTimeoutMs @3 :Int64;
}
