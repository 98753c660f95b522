package logfields

// Events of serving and of requests.
const (
	CommandFailed     = "command failed"     // a sub-command ends with status 1
	Serving           = "serving"            // clients are accepted
	Listening         = "listening"          // a further address is listened on
	Draining          = "draining"           // graceful shutdown has begun
	Counters          = "counters"           // all counters, asked for by SIGUSR1, or at the end
	RequestFailed     = "request failed"     // a request got no answer
	RequestUnreadable = "request unreadable" // a request broke its protocol
	DirectorPanicked  = "director panicked"  // a decision failed by a fault of the program
	DirectorNote      = "director note"      // a director has something to say
	ConfigCorrected   = "configuration corrected"
)

// Events of a reload, on SIGHUP.
const (
	Reloaded                = "reloaded"
	ReloadRejected          = "reload rejected"
	ReloadNeedsRestart      = "reload needs restart"
	ReloadClassesFailed     = "reload of classes failed"
	ReloadSignedFailed      = "reload of the signed front failed"
	ReloadSignedFrontClosed = "reload closed the signed front"
)

// Events of the endpoint list's feed.
const (
	DiscoveryAddressChanged = "discovery: address changed"
	DiscoveryLost           = "discovery: connection lost"
	DiscoveryEventUnusable  = "discovery: event unusable"
)

// Events of connections.
const (
	AcceptFailed             = "accept failed"
	EndpointConnLost         = "endpoint connection lost"
	EndpointAnswerUnreadable = "endpoint answer unreadable"
	ConnTakeoverFailed       = "connection takeover failed"
	ConnRegisterFailed       = "connection not registered with the poller"
	ConnMigrationFailed      = "connection migration failed"
	PollerBarrierFailed      = "poller barrier failed"
	PollerLibraryReported    = "poller library"
)

// Events of learned state.
const (
	StateNotSaved = "learned state not saved"
	StateImported = "learned state imported"

	SnapshotUnusable    = "snapshot unusable"
	SnapshotDamaged     = "snapshot damaged"
	SnapshotWriteHangs  = "snapshot write hangs"
	SnapshotWriteFailed = "snapshot write failed"
)

// Events of an upgrade, in which a new process takes over from the one that serves.
const (
	UpgradeUnavailable        = "upgrade: handover unavailable"
	UpgradeSocketsMissing     = "upgrade: sockets not handed over"
	UpgradeStateMissing       = "upgrade: state not handed over"
	UpgradeStateFormatUnknown = "upgrade: state of an unknown format"
	UpgradeTakingOver         = "upgrade: taking over"
	UpgradeStateImported      = "upgrade: learned state imported"
	UpgradePredecessorExited  = "upgrade: predecessor has ended"
	UpgradeSuccessorExited    = "upgrade: successor has ended"
	UpgradeNotAnnounced       = "upgrade: predecessor not notified"
	UpgradeConnUnusable       = "upgrade: connection unusable"
	UpgradeConnUnknownAddress = "upgrade: connection for an unknown address"
	UpgradeHandingOver        = "upgrade: handing over"
	UpgradeHandoverFailed     = "upgrade: handover incomplete"
	UpgradeMigratingClients   = "upgrade: migrating clients"
)

// Events among the gateways of a cluster.
const (
	AuditTrail                = "audit"
	ClusterVoteLost           = "cluster: vote lost"
	ClusterViewLost           = "cluster: view lost"
	ClusterOwnMaintenance     = "cluster: own maintenance"
	ClusterVoteUnstorable     = "cluster: vote not storable"
	ClusterWriteFailed        = "cluster: state not written"
	ClusterCaughtUp           = "cluster: caught up"
	ClusterPrecautionaryDrain = "cluster: drained by gossip"
	ClusterMessageUnencodable = "cluster: message not sent"
	ClusterConnLost           = "cluster: connection lost"
	ClusterConnRejected       = "cluster: connection rejected"
	ClusterReplyUnencodable   = "cluster: reply not sent"
)
