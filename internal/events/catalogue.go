package events

// Start and stop.
var (
	DaemonStarting   = define(1001, info, "daemon-starting", "daemon is starting", "version", "peer_address", "call_address", "admin_address", "backend")
	DaemonServing    = define(1002, info, "daemon-serving", "daemon accepts calls", "startup")
	StartFailed      = define(1003, failure, "start-failed", "daemon could not start", "step", "error")
	DrainBegun       = define(1004, info, "drain-begun", "graceful shutdown began; new work is refused", "cause", "in_flight", "limit")
	DrainFinished    = define(1005, info, "drain-finished", "graceful shutdown finished; nothing is in flight", "duration")
	DrainLimitPassed = define(1006, failure, "drain-limit-passed", "drain limit passed with requests in flight", "in_flight", "limit")
	DaemonStopped    = define(1008, info, "daemon-stopped", "daemon stopped", "uptime")
	SettingsReloaded = define(1011, info, "settings-reloaded", "SIGHUP: the settings were read again", "changed", "error")
	ListenerFailed   = define(1010, failure, "listener-failed", "listener stopped accepting connections", "listener", "address", "error")
)

// Membership.
var (
	MemberJoined             = define(2001, info, "member-joined", "a daemon joined", "address", "member_service", "member_zone", "member_incarnation")
	MemberChanged            = define(2002, info, "member-changed", "a daemon changed its state", "address", "member_incarnation", "from", "to")
	MemberSuspect            = define(2003, warning, "member-suspect", "a daemon doesn't answer probes", "address", "member_incarnation")
	MemberDown               = define(2004, warning, "member-down", "a daemon is considered down", "address", "member_incarnation")
	RelayLeaseTaken          = define(2007, info, "relay-lease-taken", "this daemon became a relay of its zone", "slot")
	RelayLeaseLost           = define(2008, warning, "relay-lease-lost", "this daemon's relay lease expired or was taken", "slot")
	MembershipMessageInvalid = limited(2011, warning, "membership-message-invalid", "a membership message was rejected", "from", "error")
)

// Configuration and contracts.
var (
	ConfigInEffect   = define(3001, info, "config-in-effect", "a configuration is in effect", "epoch", "revision", "change_id", "changed_by", "source")
	ConfigInvalid    = limited(3002, failure, "config-invalid", "a configuration document was rejected", "epoch", "revision", "source", "error")
	ConfigStoreOlder = limited(3003, failure, "config-store-older", "the platform holds an older configuration than the one in effect", "stored_epoch", "stored_revision", "epoch", "revision")
	PresetChanged    = define(3004, info, "preset-changed", "the active preset changed", "from", "to")
	ContractExpiring = define(3005, warning, "contract-expiring", "a support contract expires soon", "batch", "contract", "expires", "days")
	ContractExpired  = define(3006, failure, "contract-expired", "a support contract expired; its services are limited to class normal", "batch", "contract", "expires", "services")
	ConfigMissing    = limited(3007, warning, "config-missing", "no configuration is known; calls are refused")
	ConfigPullFailed = limited(3008, warning, "config-pull-failed", "a peer's newer configuration could not be fetched", "from", "epoch", "revision", "error")
)

// Calls, overload and routing.
var (
	OverloadBegun       = define(4001, warning, "overload-begun", "requests are being shed", "limit", "in_flight", "waiting", "cutoff")
	OverloadEnded       = define(4002, info, "overload-ended", "requests are no longer shed", "duration", "refused")
	NoUpstream          = limited(4005, failure, "no-upstream", "a service has no reachable upstream", "target_service")
	RetryRatioExhausted = limited(4006, warning, "retry-ratio-exhausted", "retries reached their share of the first attempts", "target_service")
	LinkBudgetSpent     = limited(4007, warning, "link-budget-spent", "the byte budget of the link between regions is spent", "target_service", "budget", "since", "balance_bytes", "upload_debt_bytes", "average_answer_bytes", "in_flight")
	TokenTableFull      = limited(4008, failure, "token-table-full", "no token can be issued; non-idempotent requests are refused", "tokens")
	OutcomeUnknown      = limited(4009, failure, "outcome-unknown", "the outcome of a non-idempotent request is not known", "target_service", "request_id", "reason")
	ResponseTruncated   = limited(4010, failure, "response-truncated", "a response was truncated; the caller's connection was aborted", "target_service", "address", "received", "declared")
	CallFinished        = define(4011, debug, "call-finished", "a call ended", "target_service", "request_id", "class", "outcome", "reason", "duration")
	DepthExceeded       = limited(4013, failure, "depth-exceeded", "a call chain is deeper than the limit", "target_service", "request_id")
	RequestMalformed    = limited(4014, debug, "request-malformed", "a request was rejected as malformed", "remote", "error")
)

// Decisions on single requests. All daemons that handle a request log it with the same request id, so that its lines
// can be found on each of them.
var (
	RequestRefused  = decision(4015, info, "request-refused", "the entry refused a request; it did not run", "route", "target_service", "class", "reason", "pass", "attempts", "config_revision", "duration")
	RequestFailed   = decision(4016, warning, "request-failed", "a request of a caller was not served", "route", "target_service", "class", "upstream", "outcome", "reason", "status", "attempts", "config_revision", "duration")
	CallRefused     = decision(4017, info, "call-refused", "the upstream's daemon refused a call before it ran", "from", "reason", "class", "limit", "in_flight", "waiting", "cutoff", "instance", "instance_state", "config_revision")
	RequestRepeated = decision(4019, info, "request-repeated", "the entry retries a request on another upstream", "target_service", "class", "upstream", "outcome", "reason", "status", "attempts", "time_left")
	OutcomeAsked    = decision(4020, info, "outcome-asked", "the entry queried the outcome of a request whose answer was lost", "target_service", "upstream", "reason", "outcome", "time_left")
	ConnectionEnded = limited(4021, warning, "connection-ended", "a client's connection was ended, because clients hold too much", "stage")
	CallFailed      = decision(4018, warning, "call-failed", "a call that was forwarded to the backend server produced no answer", "from", "reason", "class", "instance", "time_left")
)

// Quarantine.
var (
	BackendServerCrashed   = define(5001, failure, "backend-server-crashed", "the backend server crashed", "in_flight", "error")
	BackendServerAnnounced = define(5008, info, "backend-server-announced", "a heartbeat changed the instance, state or slots of the backend server", "instance", "born", "from", "to", "slots")
	RateLimitChanged       = limited(5011, info, "rate-limit-changed", "the backend server states another rate limit", "instance", "from", "to", "sent")
	HeartbeatRejected      = limited(5009, warning, "heartbeat-rejected", "a heartbeat was rejected", "instance", "error")
	AnswerRejected         = limited(5010, failure, "answer-rejected", "an answer of the backend server was rejected and not forwarded", "request_id", "status", "cause")
	DepartureKept          = define(5012, info, "departure-kept", "the backend server leaves; this was kept for a later daemon", "instance", "born", "notice", "told", "error")
	DeparturesRecovered    = define(5013, info, "departures-recovered", "earlier departures of the backend server were looked up", "found", "store", "neighbors", "duration")
	DeparturesUnknown      = define(5014, warning, "departures-unknown", "nobody can be asked for earlier departures of the backend server", "error")
	EntryMalformed         = limited(5015, warning, "entry-malformed", "entries could not be decoded and were left out", "kind", "entries")
	BackendServerAvailable = define(5002, info, "backend-server-available", "the backend server accepts connections", "outage")
	SuspectsRecorded       = define(5003, warning, "suspects-recorded", "requests in flight at a crash became suspects", "fingerprints")
	FingerprintConfirmed   = define(5004, failure, "fingerprint-confirmed", "a request crashed a backend server while it ran alone; it is refused everywhere", "fingerprint", "until")
	SuspectCleared         = define(5005, info, "suspect-cleared", "a suspect completed and is cleared", "fingerprint")
	QuarantineLifted       = define(5006, info, "quarantine-lifted", "an operator lifted a quarantine", "fingerprint")
	RequestQuarantined     = limited(5007, warning, "request-quarantined", "a request with a confirmed fingerprint was refused", "fingerprint", "request_id")
)

// Transport and platform.
var (
	ConnectionFailed     = limited(6001, warning, "connection-failed", "a connection to a peer could not be opened", "address", "error")
	ConnectionSilent     = limited(6002, warning, "connection-silent", "a connection stopped responding with calls outstanding; a new one replaces it", "address", "calls")
	PeerRejected         = limited(6003, failure, "peer-rejected", "a peer's certificate was rejected", "remote", "error")
	MessageRejected      = limited(6004, warning, "message-rejected", "a peer's message was rejected", "remote", "error")
	PlatformUnavailable  = define(6005, warning, "platform-unavailable", "the platform doesn't respond; the configuration in effect is kept", "operation", "error")
	PlatformAvailable    = define(6006, info, "platform-available", "the platform responds again", "outage")
	PlatformWriteUnknown = limited(6007, warning, "platform-write-unknown", "the outcome of a platform write is not known", "operation", "error")
	TraceExportFailed    = limited(6008, warning, "trace-export-failed", "trace spans could not be exported", "error")
	PeersUnauthenticated = define(6010, warning, "peers-unauthenticated", "the settings name no certificates; connections between daemons are neither encrypted nor authenticated")
	StoreRestored        = define(6011, warning, "store-restored", "the platform's store was restored from an older copy", "from_era", "to_era", "config_revision")
	CertificateExpiring  = define(6009, failure, "certificate-expiring", "this daemon's certificate expires soon", "expires")
)
