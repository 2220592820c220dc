import { ZoneState } from "../configuration/zone_state.ts";
import type { NodeState } from "../peers/node_state.ts";
import type { LatencySummary } from "../telemetry/latency_summary.ts";
import type { NodeRuntimes } from "./node_runtimes.ts";
import type { NodeSettings } from "./node_settings.ts";
import type { NodeStatus } from "./node_status.ts";

/** Returns the status that the operators' listener serves at `/status`. */
export function getNodeStatus(
  runtimes: NodeRuntimes,
  options: {
    readonly settings: NodeSettings;
    readonly state: NodeState;
    readonly startedAt: number;
    readonly at: number;
    readonly latencies: readonly LatencySummary[];
  },
): NodeStatus {
  const snapshot = runtimes.distribution.getSnapshot();
  const backendServer = options.settings.backendServer;
  return {
    vm: options.settings.vm,
    zone: options.settings.zone,
    state: options.state,
    startedAt: options.startedAt,
    at: options.at,
    version: snapshot?.version ?? null,
    zonesTakenOut: [...snapshot?.zones.values() ?? []]
      .filter((zone) => zone.state === ZoneState.TakenOut)
      .map((zone) => zone.name),
    backendServer: backendServer === null
      ? null
      : { name: backendServer.name, ...runtimes.admission.getStatus() },
    distribution: runtimes.distribution.getStatus(),
    peers: [...runtimes.distribution.getPeers().values()],
    calls: runtimes.calls.getStatus(),
    latencies: options.latencies,
  };
}
