package port

// Metric is the exported name of a counter, gauge or histogram. docs/METRICS.md
// documents the unit of each metric and the alert that uses it.
type Metric string

// The metrics of requests, configuration and the node's health.
const (
	// MetricAnswered counts requests that a target has answered, by route.
	MetricAnswered Metric = "tamarack_requests_answered_total"
	// MetricRefused counts refusals to callers, by reason.
	MetricRefused Metric = "tamarack_requests_refused_total"
	// MetricUnknown counts requests whose outcome is unknown, by route.
	MetricUnknown Metric = "tamarack_requests_unknown_total"
	// MetricRetries counts attempts after the first one of a request, by route.
	MetricRetries Metric = "tamarack_requests_retried_total"
	// MetricRetriesDenied counts attempts that the fleet's retry budget didn't allow, by
	// service. MetricBudgetUsed is the number of retries that this node has counted in the
	// budget's window, and MetricBudgetAllowed the most that it may reach, both by service.
	// MetricBudgetVMs is the number of VMs among which the fixed part of the budget is divided.
	MetricRetriesDenied Metric = "tamarack_retries_denied_total"
	MetricBudgetUsed    Metric = "tamarack_retry_budget_used"
	MetricBudgetAllowed Metric = "tamarack_retry_budget_allowed"
	MetricBudgetVMs     Metric = "tamarack_retry_budget_vms"
	// MetricAttemptsFull counts attempts that a target's node refused for lack of slots,
	// and MetricShortage is 1 while a service lacks slots as this node sees it, both by
	// service.
	MetricAttemptsFull Metric = "tamarack_attempts_full_total"
	MetricShortage     Metric = "tamarack_service_shortage"
	// MetricRequestTime is the time from a request to its response, in seconds,
	// by route.
	MetricRequestTime Metric = "tamarack_request_seconds"
	// MetricLinesDropped counts dropped log lines, by kind.
	MetricLinesDropped Metric = "tamarack_log_lines_dropped_total"
	// MetricViewAge is the age of the view of the mesh, in seconds; negative while
	// there is no view.
	MetricViewAge Metric = "tamarack_view_age_seconds"
	// MetricTargetsUsable is the number of targets that accept requests, by service.
	MetricTargetsUsable Metric = "tamarack_targets_usable"
	// MetricConfigVersion is the version of the applied configuration, in the
	// operators' numbering.
	MetricConfigVersion Metric = "tamarack_config_version"
	// MetricLinkWait is the time for which a large response waits for the VM's
	// network link, in seconds.
	MetricLinkWait Metric = "tamarack_link_wait_seconds"
	// MetricLinkRefused counts requests of other nodes refused because their large
	// responses would wait too long for the VM's network link.
	MetricLinkRefused Metric = "tamarack_link_refused_total"
	// MetricLinkTransfers is the number of large responses to other VMs, by state.
	MetricLinkTransfers Metric = "tamarack_link_transfers"
	// MetricLinkReceive is the time in which the large responses on their way to the VM
	// would arrive over its network link, in seconds, and MetricReceiveRefused counts
	// requests refused because a further one could not arrive in time.
	MetricLinkReceive    Metric = "tamarack_link_receive_seconds"
	MetricReceiveRefused Metric = "tamarack_link_receive_refused_total"
	// MetricLinkStalls counts large responses that gave up their turn on the VM's network
	// link because their receiver stopped reading.
	MetricLinkStalls Metric = "tamarack_link_stalls_total"
	// MetricTargetCrashes counts the crashes of the VM's own target.
	MetricTargetCrashes Metric = "tamarack_target_crashes_total"
	// MetricTargetRequests counts the requests sent to the VM's own target.
	MetricTargetRequests Metric = "tamarack_target_requests_total"
	// MetricTargetLimit is the number of requests per second that the VM's own target
	// reports to take, and MetricStartRate the rate at which the node starts requests
	// there; 0 without a limit.
	MetricTargetLimit Metric = "tamarack_target_limit"
	MetricStartRate   Metric = "tamarack_target_start_rate"
	// MetricMemoryHeld is the number of bytes that the node holds for its clients, by purpose,
	// and MetricMemoryLimit the most that it may hold.
	MetricMemoryHeld  Metric = "tamarack_memory_held_bytes"
	MetricMemoryLimit Metric = "tamarack_memory_limit_bytes"
	// MetricMemoryRefused counts requests refused for lack of memory, by where it lacked:
	// at the entry node, at the owner node, or at the target.
	MetricMemoryRefused Metric = "tamarack_memory_refusals_total"
	// MetricMemoryEnded counts responses that were ended because their receivers read too
	// slowly and the memory was needed.
	MetricMemoryEnded Metric = "tamarack_memory_connections_ended_total"
	// MetricTargetHeld is the number of bytes of request bodies that the VM's own target
	// holds, and MetricTargetBound the most that it gets after a crash; 0 without a bound.
	MetricTargetHeld  Metric = "tamarack_target_held_bytes"
	MetricTargetBound Metric = "tamarack_target_bound_bytes"
	// MetricTargetSlowdown is how long work takes at the VM's own target, as a multiple of
	// the target's own mean; 0 if it reports no work factor. MetricSlowdownPersistence is the
	// time constant with which a deviation of it decays, in seconds.
	MetricTargetSlowdown      Metric = "tamarack_target_slowdown"
	MetricSlowdownPersistence Metric = "tamarack_target_slowdown_persistence_seconds"
	// MetricEarlyResponses counts responses that are passed on while the request's body is
	// still being sent on, by where: at the entry or the owner node.
	MetricEarlyResponses Metric = "tamarack_early_responses_total"
	// MetricHeadersRejected counts responses whose header was invalid or too large, or for whose header
	// there was no memory.
	MetricHeadersRejected Metric = "tamarack_response_headers_rejected_total"
	// MetricReportsIgnored counts reports of targets that were ignored, in part or as a
	// whole, because they are invalid, by kind.
	MetricReportsIgnored Metric = "tamarack_reports_ignored_total"
	// MetricQuarantined is the number of quarantined requests, which are not sent to
	// targets.
	MetricQuarantined Metric = "tamarack_requests_quarantined"
	// MetricCrashesDropped counts crash notices dropped because they arrived faster
	// than the node accepts them.
	MetricCrashesDropped Metric = "tamarack_crash_notices_dropped_total"
	// MetricClientsEnded counts connections of clients that were ended because their listener
	// had too many, or their headers took too much memory, by listener.
	MetricClientsEnded Metric = "tamarack_client_connections_ended_total"
	// MetricTimedOutConnections counts callers' connections closed because they exceeded
	// the header or idle timeout.
	MetricTimedOutConnections Metric = "tamarack_connections_overdue_total"
	// MetricResumed counts bodies continued from another target, by route.
	MetricResumed Metric = "tamarack_bodies_resumed_total"
	// MetricApplied counts applied versions.
	MetricApplied Metric = "tamarack_versions_applied_total"
	// MetricVersionRefused counts versions that failed validation.
	MetricVersionRefused Metric = "tamarack_versions_refused_total"
	// MetricConflicts counts conflicting versions, which operators published over
	// each other.
	MetricConflicts Metric = "tamarack_versions_conflicting_total"
	// MetricPullsDeferred counts pulls by peers that were asked to retry later.
	MetricPullsDeferred Metric = "tamarack_pulls_put_off_total"
	// MetricPlatformReads counts reads of the platform, by result.
	MetricPlatformReads Metric = "tamarack_platform_reads_total"
	// MetricControlBytes counts the bytes of control connections that this node
	// opened, TLS included, by direction. The accepting node doesn't count them.
	MetricControlBytes Metric = "tamarack_control_bytes_total"
	// MetricLiveMembers is the number of members that accept new work.
	MetricLiveMembers Metric = "tamarack_members_live"
	// MetricSlotsRunning is the number of the local target's slots in use.
	MetricSlotsRunning Metric = "tamarack_slots_running"
	// MetricQueueWaiting is the number of requests waiting for a slot.
	MetricQueueWaiting Metric = "tamarack_queue_waiting"
	// MetricRequestsOpen is the number of requests that the node serves as
	// entry or owner.
	MetricRequestsOpen Metric = "tamarack_requests_open"
	// MetricVersionEpoch and MetricVersionRevision are the applied version.
	MetricVersionEpoch    Metric = "tamarack_version_epoch"
	MetricVersionRevision Metric = "tamarack_version_revision"
	// MetricReportedRevision is the highest revision reported by any node.
	MetricReportedRevision Metric = "tamarack_version_reported_revision"
	// MetricConfigurationAge is the time since the applied version was published,
	// in seconds.
	MetricConfigurationAge Metric = "tamarack_configuration_age_seconds"
	// MetricPlatformReachable is 1 while the platform responds to the node's own
	// reads.
	MetricPlatformReachable Metric = "tamarack_platform_reachable"
	// MetricHealth is 1 for the node's current health state, by state.
	MetricHealth Metric = "tamarack_health"
)
