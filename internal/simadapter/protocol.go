package simadapter

import "fawnglade/policy"

// The words of the simulator's protocol, in the field's terms. They are fixed by the simulator.

// Messages that frame a batch.
const (
	messageBeginBatch = "BEGIN_BATCH"
	messageEndOfBatch = "EOB"
	messageDone       = "DONE"
)

// Events.
const (
	eventConfigure       = "CONFIGURE"
	eventStop            = "STOP"
	eventList            = "CATALOG" // an endpoint list, in lines that follow
	lineEndpoint         = "SERVER"  // one line of it
	eventEndpointsUpdate = "REGISTRY"
	eventRequestArrived  = "REQ"
	eventResponseStarted = "OPENED"
	eventAttemptEnded    = "RESOLVED"
	eventClientGone      = "WITHDRAWN"
	eventTimerFired      = "WAKEUP"
	eventHealthChecked   = "HEALTH_RESULT"
	eventGossipReceived  = "PEER"
)

// Actions.
const (
	actionSend        = "ISSUE"
	actionCancel      = "RECALL"
	actionReject      = "BUSY"
	actionFail        = "FINISH_ERROR"
	actionSetTimer    = "AFTER"
	actionWatch       = "OBSERVE"
	actionCloseIdle   = "RELEASE"
	actionGossip      = "ANNOUNCE"
	actionCheckHealth = "TEST"
	actionPanicked    = "FATAL"

	gossipToAll = "all"
	watchOn     = 1
)

// Fields, by the names that error messages use.
const (
	fieldMessage       = "message"
	fieldClock         = "clock"
	fieldInstance      = "who"
	fieldSeed          = "entropy"
	fieldSettings      = "profile_data"
	fieldListNumber    = "sheet"
	fieldListLength    = "nodes_list"
	fieldEndpoint      = "server"
	fieldZone          = "site"
	fieldHostKind      = "class_of_host"
	fieldPod           = "cell"
	fieldState         = "condition"
	fieldWeight        = "share"
	fieldStartedAt     = "born_us"
	fieldUpdateForm    = "form"
	fieldSequence      = "seq_no"
	fieldRequest       = "msg_id"
	fieldClass         = "band"
	fieldTenant        = "project"
	fieldDeadline      = "client_deadline_us"
	fieldRequestFlags  = "marks"
	fieldCostHint      = "cost_guess_us"
	fieldElapsed       = "lag_us"
	fieldRequestDone   = "over"
	fieldOutcome       = "disposition"
	fieldAttempt       = "shot"
	fieldLoadReport    = "gauge"
	fieldTimer         = "cookie"
	fieldPeer          = "neighbour"
	fieldGossipMessage = "octets"
)

// Bits of fieldRequestFlags.
const (
	flagCostHint    = 1
	flagClientRetry = 2
)

// Forms of eventEndpointsUpdate: the complete list, what changed, the list that the node kept on disk, or no list.
const (
	updateComplete    = "FULL"
	updateIncremental = "INCREMENTAL"
	updateSaved       = "SAVED"
	updateFailed      = "FAILED"
)

// Values in a load report.
const (
	reportUtilization = "util"
	reportQueueLength = "queue"
	reportServiceTime = "latency_ms"
)

// outcomes by their words; any other is policy.OutcomeUnknown.
var outcomes = map[string]policy.Outcome{
	"Ok":           policy.OutcomeSucceeded,
	"Failed":       policy.OutcomeError,
	"QueueFull":    policy.OutcomeRejected,
	"TimedOut":     policy.OutcomeTimedOut,
	"ConnectError": policy.OutcomeConnectFailed,
	"ResetByPeer":  policy.OutcomeReset,
	"Canceled":     policy.OutcomeCanceled,
	"Ignored":      policy.OutcomeNotSent,
}

var endpointStates = map[string]policy.EndpointState{
	"active":  policy.StateActive,
	"leaving": policy.StateDraining,
	"left":    policy.StateRemoved,
}
