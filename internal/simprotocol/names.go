package simprotocol

import "larchusher/routing"

// The words of the wire, mapped to the terms of package routing here and nowhere else. Names of fields stand beside their
// places in decode.go, and as tags in settings.go.

// Events of the wire that are not for a director, or begin and end one.
const (
	eventDefineList     = "defineList"
	eventStart          = "enlist"
	eventStop           = "teardown"
	eventEndpointUpdate = "sync"
)

// Events of the wire, by what they are to a director.
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

// Actions of the wire, by what a director calls them.
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

// maxListNumber is the highest number that a list may bear.
const maxListNumber = 15

// The bits of a request's marks.
const (
	markRetry = 2
	markWrite = 4
)

// The bits of an attempt's `how`.
const (
	howCoalesce     = 1
	howOnlyIfCached = 2
	howNoParentCopy = 4
	howRefreshAhead = 8
)

// updateKinds are the kinds of an update of the endpoint list.
var updateKinds = map[string]routing.UpdateKind{
	"total": routing.FullList, "incr": routing.DeltaList, "warm_copy": routing.StaleList, "lost": routing.WatchLost,
}

// phases are those of an endpoint.
var phases = map[string]routing.Phase{"U": routing.Up, "L": routing.Draining, "D": routing.Removed}

// statuses are the ways in which attempts and health checks end.
var statuses = map[int]routing.Status{
	200: routing.OK, 500: routing.ServerError, 503: routing.Rejected, 504: routing.TimedOut,
	502: routing.ConnectFailed, 598: routing.Reset, 499: routing.Canceled, 410: routing.NotSent,
	404: routing.Miss,
}

// Words of the settings. An empty one is the default.
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
