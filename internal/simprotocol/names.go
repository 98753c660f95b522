package simprotocol

import "larchusher/routing"

// The names of the simulator's protocol and the terms of package routing that they stand for. Field names are given
// next to the fields in decode.go, and as tags in settings.go.

// Events that define an endpoint list, start or stop a director, or update a director's endpoint list.
const (
	eventDefineList     = "defineList"
	eventStart          = "enlist"
	eventStop           = "teardown"
	eventEndpointUpdate = "sync"
)

// Events for a running director.
const (
	eventRequest           = "demand"
	eventFirstByte         = "firstByte"
	eventAttemptResult     = "ended"
	eventGossip            = "noteFrom"
	eventPurge             = "replaced"
	eventHealthCheckResult = "healthResult"
	eventClientGone        = "expired"
	eventTimerFired        = "alarm"
)

// Actions of a director.
const (
	actionForwardAttempt   = "answerFrom"
	actionReject           = "decline"
	actionFail             = "reportFailure"
	actionCancelAttempt    = "abortAttempt"
	actionSetTimer         = "wakeAt"
	actionSendGossip       = "notify"
	actionStartHealthCheck = "sample"
	actionPollEndpoints    = "tail"
	actionLog              = "record"
	actionFault            = "bug"
)

// maxListNumber is the highest number of an endpoint list.
const maxListNumber = 15

// Bits of the field marks of a request.
const (
	markRetry = 2
	markWrite = 4
)

// Bits of the options of a forwarded attempt.
const (
	howCoalesce     = 1
	howOnlyIfCached = 2
	howNoParentCopy = 4
	howRefreshAhead = 8
)

// updateKinds are the kinds of endpoint list updates by their words.
var updateKinds = map[string]routing.UpdateKind{
	"total": routing.FullList, "incr": routing.DeltaList, "warm_copy": routing.StaleList, "lost": routing.WatchLost,
}

// phases are the phases of endpoints by their words.
var phases = map[string]routing.Phase{"U": routing.Up, "L": routing.Draining, "D": routing.Removed}

// statuses are the statuses of attempts and health checks by their codes.
var statuses = map[int]routing.Status{
	200: routing.OK, 500: routing.ServerError, 503: routing.Rejected, 504: routing.TimedOut,
	502: routing.ConnectFailed, 598: routing.Reset, 499: routing.Canceled, 410: routing.NotSent,
	404: routing.Miss,
}

// Values of the settings. An empty string is the default.
var (
	effects = map[string]routing.Effect{
		"": routing.Idempotent, "repeatable": routing.Idempotent, "by_key": routing.IdempotentWithKey, "once": routing.NonIdempotent}
	scopes = map[string]routing.DedupScope{
		"": routing.ScopeAll, "all": routing.ScopeAll, "zone": routing.ScopeZone, "cell": routing.ScopeCell}
	answerDetails = map[string]routing.AnswerDetail{
		"": routing.DetailNone, "off": routing.DetailNone, "hit": routing.DetailHit, "all": routing.DetailAll}
	siblingModes = map[string]routing.SiblingMode{"": routing.NoSiblings, "off": routing.NoSiblings,
		"location": routing.SiblingsInLocation, "any": routing.SiblingsAnywhere}
)
