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
	MemoryLimitSmall  = "memory limit small"      // the memory limit is less than a few hundred clients need: the gateway serves all the same
)

// Events of a configuration reload, which SIGHUP requests.
const (
	Reloaded                = "reloaded"                          // the new configuration is in use
	ReloadRejected          = "reload rejected"                   // an error in the files: the old configuration stays
	ReloadNeedsRestart      = "reload needs restart"              // some changes take effect only at the next start
	ReloadClassesFailed     = "reload of classes failed"          // classes that a reload removed could not be dropped after their grace time
	ReloadSignedFailed      = "reload of the signed front failed" // the signed front keeps its old configuration
	ReloadSignedFrontClosed = "reload closed the signed front"    // the new file has no signed front
)

// Events of endpoint discovery: the connection that streams changes of the endpoint list.
const (
	DiscoveryAddressChanged = "discovery: address changed" // a reload changed the journal's address: the connection moves there
	DiscoveryLost           = "discovery: connection lost" // logged once per loss; the client reconnects with backoff
	DiscoveryEventUnusable  = "discovery: event unusable"  // a malformed event was skipped; its position counts
)

// Events of connections to clients and endpoints, and of the poller that reads from them.
const (
	AcceptFailed             = "accept failed"                             // accept(2) failed on a listener, which goes on accepting
	EndpointConnLost         = "endpoint connection lost"                  // a connection with attempts in flight was lost: they fail
	EndpointAnswerUnreadable = "endpoint answer unreadable"                // an endpoint violated the protocol: its connection is closed
	ConnTakeoverFailed       = "connection takeover failed"                // an accepted or queued connection could not be served: it is closed
	ConnRegisterFailed       = "connection not registered with the poller" // the poller did not accept a connection
	ConnMigrationFailed      = "connection migration failed"               // a connection could not be handed over to the successor: it is served here, and closed once idle
	PollerBarrierFailed      = "poller barrier failed"                     // the poller could not be woken for a barrier
	PollerLibraryReported    = "poller library"                            // a warning or error of the poller's library
)

// Events of learned state and of the snapshot files in which it is saved.
const (
	StateNotSaved = "learned state not saved" // the folder cannot be used: the gateway serves without saving
	StateImported = "learned state imported"  // state from a snapshot file is in use

	SnapshotUnusable    = "snapshot unusable"     // a snapshot file could not be read: it is skipped
	SnapshotDamaged     = "snapshot damaged"      // a snapshot file is used without its damaged records
	SnapshotWriteHangs  = "snapshot write hangs"  // a write has not completed in time
	SnapshotWriteFailed = "snapshot write failed" // logged for the first failure only
)

// Events of a hot restart (upgrade), in which a new process, the successor, takes over from the one that serves, the predecessor.
const (
	UpgradeUnavailable        = "upgrade: handover unavailable"              // the shared folder cannot be used: no hot restart
	UpgradeSocketsMissing     = "upgrade: sockets not handed over"           // the successor opens listening sockets of its own
	UpgradeStateMissing       = "upgrade: state not handed over"             // the successor starts from its configuration
	UpgradeStateFormatUnknown = "upgrade: state of an unknown format"        // the successor starts from its configuration
	UpgradeTakingOver         = "upgrade: taking over"                       // the successor has received the predecessor's state
	UpgradeStateImported      = "upgrade: learned state imported"            // the successor uses the predecessor's learned state
	UpgradePredecessorExited  = "upgrade: predecessor has ended"             // the successor may now use all of the limits
	UpgradeSuccessorExited    = "upgrade: successor has ended"               // the predecessor goes on alone, with all of the limits
	UpgradeNotAnnounced       = "upgrade: predecessor not notified"          // the predecessor does not learn that the successor serves
	UpgradeConnUnusable       = "upgrade: connection unusable"               // a migrated connection could not be opened: it is closed
	UpgradeConnUnknownAddress = "upgrade: connection for an unknown address" // no listener has a migrated connection's address: it is closed
	UpgradeHandingOver        = "upgrade: handing over"                      // the predecessor sends its state to the successor
	UpgradeHandoverFailed     = "upgrade: handover incomplete"               // the state or the sockets did not reach the successor
	UpgradeMigratingClients   = "upgrade: migrating clients"                 // the predecessor stops accepting and hands its clients over
)

// Events of a cluster of gateways.
const (
	AuditTrail                = "audit"                        // an entry of the audit trail
	ClusterVoteLost           = "cluster: vote lost"           // the stored acceptor state is not readable: the gateway starts without it
	ClusterViewLost           = "cluster: view lost"           // the stored view is not readable: the gateway starts without it
	ClusterOwnMaintenance     = "cluster: own maintenance"     // this gateway is out for maintenance and shuts down
	ClusterVoteUnstorable     = "cluster: vote not storable"   // the acceptor state could not be encoded for storage
	ClusterWriteFailed        = "cluster: state not written"   // a file of the cluster's state could not be written
	ClusterCaughtUp           = "cluster: caught up"           // the state that peers have learned is in use
	ClusterPrecautionaryDrain = "cluster: drained by gossip"   // the set of endpoints that drain because of peers' reports has changed
	ClusterMessageUnencodable = "cluster: message not sent"    // a message could not be encoded: it is dropped
	ClusterConnLost           = "cluster: connection lost"     // an outgoing connection to a member has ended
	ClusterConnRejected       = "cluster: connection rejected" // an incoming connection failed authentication or violated the protocol
	ClusterReplyUnencodable   = "cluster: reply not sent"      // a reply could not be encoded or written: it is dropped
)
