/**
 * The public API of the library: the configuration pipeline (parse, split,
 * compile), the decision logic as pure step functions, the runtimes that execute
 * it through ports, and the daemon that runs a complete node in one process.
 * Everything else is internal and may change.
 *
 * @module
 */

// Configuration: from the text of a document to the snapshot that routes calls.
export { compareVersions } from "./configuration/compare_versions.ts";
export { formatVersion } from "./configuration/format_version.ts";
export { parseConfiguration } from "./configuration/parse_configuration.ts";
export { splitConfiguration } from "./configuration/split_configuration.ts";
export { compileSnapshot } from "./configuration/compile_snapshot.ts";
export { joinConfiguration } from "./configuration/join_configuration.ts";
export { compareConfigurations } from "./configuration/compare_configurations.ts";
export { CallPriority } from "./configuration/call_priority.ts";
export { ZoneState } from "./configuration/zone_state.ts";
export type { AvailabilityZone } from "./configuration/availability_zone.ts";
export type { BackendServer } from "./configuration/backend_server.ts";
export type { Route } from "./configuration/route.ts";
export type { Service } from "./configuration/service.ts";
export type { Snapshot } from "./configuration/snapshot.ts";
export type { Version } from "./configuration/version.ts";

// Diagnostics: numbered, typed errors and warnings.
export type { Diagnostic } from "./diagnostics/diagnostic.ts";
export { DiagnosticCategory } from "./diagnostics/diagnostic_category.ts";
export { DiagnosticCode } from "./diagnostics/diagnostic_code.ts";
export { formatDiagnostic } from "./diagnostics/format_diagnostic.ts";
export { getDiagnosticMessage } from "./diagnostics/get_diagnostic_message.ts";

// Decisions: pure functions from (state, event, context) to (state, effects).
export { AdmissionEffectKind } from "./admission/admission_effect_kind.ts";
export { AdmissionEventKind } from "./admission/admission_event_kind.ts";
export { createAdmissionState } from "./admission/create_admission_state.ts";
export { stepAdmission } from "./admission/step_admission.ts";
export type { AdmissionEffect } from "./admission/admission_effect.ts";
export type { AdmissionEvent } from "./admission/admission_event.ts";
export { stepCall } from "./calls/step_call.ts";
export { stepDispatch } from "./calls/step_dispatch.ts";
export { stepLedger } from "./calls/step_ledger.ts";
export { createDistributionState } from "./distribution/create_distribution_state.ts";
export { stepDistribution } from "./distribution/step_distribution.ts";
export type { DistributionEffect } from "./distribution/distribution_effect.ts";
export type { DistributionEvent } from "./distribution/distribution_event.ts";
export { stepPauseDetector } from "./health/step_pause_detector.ts";

// Runtimes: each owns the state of one kind of decision and performs its effects through ports.
export { createAdmissionPolicy } from "./admission/create_admission_policy.ts";
export { createAdmissionRuntime } from "./admission/create_admission_runtime.ts";
export { createDistributionRuntime } from "./distribution/create_distribution_runtime.ts";
export { createPauseWatch } from "./health/create_pause_watch.ts";
export { LimitController } from "./admission/limit_controller.ts";
export { QueueOrder } from "./admission/queue_order.ts";
export type { AdmissionPolicy } from "./admission/admission_policy.ts";
export type { AdmissionRuntime } from "./admission/admission_runtime.ts";
export type { AdmissionRuntimeOptions } from "./admission/admission_runtime_options.ts";
export type { PauseWatch } from "./health/pause_watch.ts";
export type { ProcessPause } from "./health/process_pause.ts";
export { ChoicePolicy } from "./calls/choice_policy.ts";
export type { CallsStatus } from "./calls/calls_status.ts";
export type { CallsRuntime } from "./calls/calls_runtime.ts";
export type { CallsRuntimeOptions } from "./calls/calls_runtime_options.ts";
export type { DistributionRuntime } from "./distribution/distribution_runtime.ts";
export type { DistributionRuntimeOptions } from "./distribution/distribution_runtime_options.ts";

// Ports: the interfaces that a program provides to the runtimes, and their data types.
export { NodeState } from "./peers/node_state.ts";
export { VmState } from "./platform/vm_state.ts";
export { ControlFailureKind } from "./peers/control_failure_kind.ts";
export type { BackendServerProbe } from "./health/backend_server_probe.ts";
export type { BackendServerProber } from "./health/backend_server_prober.ts";
export type { ControlCall } from "./peers/control_call.ts";
export type { ControlClient } from "./peers/control_client.ts";
export type { ControlFailure } from "./peers/control_failure.ts";
export type { PeerRecord } from "./peers/peer_record.ts";
export type { PlatformClient } from "./platform/platform_client.ts";
export type { PlatformValue } from "./platform/platform_value.ts";
export type { VmEntry } from "./platform/vm_entry.ts";
export type { Clock } from "./runtime/clock.ts";
export type { NetworkAddress } from "./runtime/network_address.ts";
export type { NodeEnvironment } from "./runtime/node_environment.ts";
export { createRandomSource } from "./runtime/create_random_source.ts";
export type { RandomSource } from "./runtime/random_source.ts";
export type { TimerHandle } from "./runtime/timer_handle.ts";
export type { Timers } from "./runtime/timers.ts";
export { AuditEntryKind } from "./telemetry/audit_entry_kind.ts";
export type { AuditEntry } from "./telemetry/audit_entry.ts";
export type { AuditTrail } from "./telemetry/audit_trail.ts";
export type { Log } from "./telemetry/log.ts";

// Refusals that callers receive.
export { Outcome } from "./calls/outcome.ts";
export { RefusalReason } from "./calls/refusal_reason.ts";
export type { Refusal } from "./calls/refusal.ts";

// Daemon: runs one node in the current process.
export { createCallsRuntime } from "./daemon/calls/create_calls_runtime.ts";
export { createControlClient } from "./daemon/create_control_client.ts";
export { createPlatformClient } from "./daemon/create_platform_client.ts";
export { createNodeDaemon } from "./daemon/create_node_daemon.ts";
export { parseNodeSettings } from "./daemon/parse_node_settings.ts";
export type { NodeDaemon } from "./daemon/node_daemon.ts";
export type { NodeSettings } from "./daemon/node_settings.ts";
export type { NodeStatus } from "./daemon/node_status.ts";
