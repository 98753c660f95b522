package logfields

// Events of serving and of requests.
const (
	CommandFailed     = "command failed"          // a sub-command failed, and the process exits with status 1
	Serving           = "serving"                 // the start has completed, and clients are accepted
	Listening         = "listening"               // a listener besides that of the platform's front has been opened
	Draining          = "draining"                // a graceful shutdown has begun
	Counters          = "counters"                // values of all metrics, logged on SIGUSR1 and when the daemon ends
	RequestFailed     = "request failed"          // a request ended without an answer from an endpoint
	RequestUnreadable = "request unreadable"      // a request violated the protocol
	DirectorPanicked  = "director panicked"       // a director panicked while it made a decision: a bug
	DirectorNote      = "director note"           // a director's message for operators
	ConfigCorrected   = "configuration corrected" // a configured value was replaced at the start
)

// Events of a configuration reload, which SIGHUP requests.
const (
	Reloaded                = "reloaded"                          // the new configuration is in use
	ReloadRejected          = "reload rejected"                   // an error in the files: the old configuration stays
	ReloadNeedsRestart      = "reload needs restart"              // some changes take effect only at the next start
	ReloadClassesFailed     = "reload of classes failed"          // new classes could not be applied
	ReloadSignedFailed      = "reload of the signed front failed" // the signed front keeps its old configuration
	ReloadSignedFrontClosed = "reload closed the signed front"    // the new file has no signed front
)

// Events of endpoint discovery: the connection that streams changes of the endpoint list.
const (
	DiscoveryAddressChanged = "discovery: address changed"
	DiscoveryLost           = "discovery: connection lost"
	DiscoveryEventUnusable  = "discovery: event unusable" // an event was malformed or could not be applied
)

// Events of connections to clients and endpoints, and of the poller that reads from them.
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

// Events of learned state and of the snapshot files in which it is saved.
const (
	StateNotSaved = "learned state not saved"
	StateImported = "learned state imported"

	SnapshotUnusable    = "snapshot unusable"
	SnapshotDamaged     = "snapshot damaged"
	SnapshotWriteHangs  = "snapshot write hangs"
	SnapshotWriteFailed = "snapshot write failed"
)

// Events of a hot restart (upgrade), in which a new process, the successor, takes over from the one that serves, the predecessor.
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

// Events of a cluster of gateways.
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
