package port

// Metric names a counter or gauge as operators see it. docs/METRICS.md gives
// each one's unit and the alert that it serves.
type Metric string

// The metrics.
const (
	// MetricAnswered counts requests answered by a target, by route.
	MetricAnswered Metric = "tamarack_requests_answered_total"
	// MetricRefused counts refusals to callers, by reason.
	MetricRefused Metric = "tamarack_requests_refused_total"
	// MetricUnknown counts requests whose outcome is unknown, by route.
	MetricUnknown Metric = "tamarack_requests_unknown_total"
	// MetricRetries counts attempts after a request's first, by route.
	MetricRetries Metric = "tamarack_requests_retried_total"
	// MetricRequestTime is the time from a request to its answer, in seconds,
	// by route.
	MetricRequestTime Metric = "tamarack_request_seconds"
	// MetricLinesDropped counts log lines that were left out, by kind.
	MetricLinesDropped Metric = "tamarack_log_lines_dropped_total"
	// MetricViewAge is how old the view of the mesh is, in seconds; negative
	// while there is none.
	MetricViewAge Metric = "tamarack_view_age_seconds"
	// MetricTargetsUsable is the number of targets that take work, by service.
	MetricTargetsUsable Metric = "tamarack_targets_usable"
	// MetricConfigVersion is the version of the configuration in force, as
	// operators number it.
	MetricConfigVersion Metric = "tamarack_config_version"
	// MetricLinkWait is how long a large answer waits for the VM's link, in
	// seconds.
	MetricLinkWait Metric = "tamarack_link_wait_seconds"
	// MetricTargetCrashes counts the crashes of the VM's own target.
	MetricTargetCrashes Metric = "tamarack_target_crashes_total"
	// MetricQuarantined is the number of requests that are kept from targets.
	MetricQuarantined Metric = "tamarack_requests_quarantined"
	// MetricCrashesDropped counts crashes that were told faster than a node takes them.
	MetricCrashesDropped Metric = "tamarack_crash_notices_dropped_total"
	// MetricOverdue counts callers' connections ended for keeping the node waiting.
	MetricSlowConnections Metric = "tamarack_connections_overdue_total"
	// MetricResumed counts bodies continued from another target, by route.
	MetricResumed Metric = "tamarack_bodies_resumed_total"
	// MetricApplied counts versions put in force.
	MetricApplied Metric = "tamarack_versions_applied_total"
	// MetricVersionRefused counts versions that failed their checks.
	MetricVersionRefused Metric = "tamarack_versions_refused_total"
	// MetricConflicts counts versions that operators published over each
	// other.
	MetricConflicts Metric = "tamarack_versions_conflicting_total"
	// MetricPullsPutOff counts pulls of peers that were told to come back.
	MetricPullsDeferred Metric = "tamarack_pulls_put_off_total"
	// MetricPlatformReads counts reads of the platform, by result.
	MetricPlatformReads Metric = "tamarack_platform_reads_total"
	// MetricControlBytes counts the bytes of control connections that this node
	// opened, TLS included, by direction; the other end doesn't count them.
	MetricControlBytes Metric = "tamarack_control_bytes_total"
	// MetricLiveMembers is the number of members that take new work.
	MetricLiveMembers Metric = "tamarack_members_live"
	// MetricSlotsRunning is the number of the local target's slots in use.
	MetricSlotsRunning Metric = "tamarack_slots_running"
	// MetricQueueWaiting is the number of requests that wait for a slot.
	MetricQueueWaiting Metric = "tamarack_queue_waiting"
	// MetricRequestsOpen is the number of requests that the node serves as
	// entry or owner.
	MetricRequestsOpen Metric = "tamarack_requests_open"
	// MetricVersionEpoch and MetricVersionRevision are the version in force.
	MetricVersionEpoch    Metric = "tamarack_version_epoch"
	MetricVersionRevision Metric = "tamarack_version_revision"
	// MetricReportedRevision is the highest revision that anyone reported.
	MetricReportedRevision Metric = "tamarack_version_reported_revision"
	// MetricConfigurationAge is the time since the version in force was
	// published, in seconds.
	MetricConfigurationAge Metric = "tamarack_configuration_age_seconds"
	// MetricPlatformReachable is 1 while the node's own reads of the platform
	// are answered.
	MetricPlatformReachable Metric = "tamarack_platform_reachable"
	// MetricHealth is 1 for the state that the node is in, by state.
	MetricHealth Metric = "tamarack_health"
)
