import type { Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import { latencyQuantiles } from "../telemetry/latency_quantiles.ts";
import type { CallEventCount } from "./call_event_count.ts";
import type { MeshGauges } from "./mesh_gauges.ts";

const microsecondsPerMillisecond = 1_000;

const gaugeHelpTexts: Readonly<Record<keyof MeshGauges, string>> = {
  rulesVersion: "Version of the rules in force; 0 for none",
  sourceEra: "How often the source came back from an older copy",
  sourceSoundMilliseconds:
    "Since when the source has answered without a failure; -1 while it does not",
  feedFollowers: "Neighbours that learn of the source from this node",
  offerConnections: "Nodes to which offers are sent on an offer connection",
  servedOfferConnections: "Nodes that send offers on an offer connection",
  registeredServers: "Backend servers in the register",
  zonesTakenOut: "Availability zones that get no new work",
  running: "Calls at the backend server of this VM",
  queued: "Calls that wait for a slot of it",
  slots: "Its slots",
  cold: "1 while it is in cold start",
  callsPerSecondLimit:
    "Calls a second that it states to take from all nodes; -1 for no limit",
  leaving: "1 while it states that it is about to leave",
  open: "1 while it may get new work",
  callerCalls: "Calls of callers that have no answer yet",
  quarantinedRequests: "Requests refused for the crashes under them",
  stopping: "1 while the node stops",
};

/** Renders counters, latency quantiles and gauges in the Prometheus text format. */
export function renderMeshMetrics(
  options: {
    readonly counts: readonly CallEventCount[];
    /** Latencies in microseconds, by place. */
    readonly histograms: ReadonlyMap<string, Histogram>;
    readonly gauges: MeshGauges;
  },
): Promise<string> {
  const { counts, histograms, gauges } = options;
  const registry = new Registry();
  const registers = [registry];
  const events = new Counter({
    name: "catkinquay_call_events_total",
    help: "Decisions on calls, by kind, reason and outcome",
    labelNames: ["kind", "reason", "outcome"],
    registers,
  });
  counts.forEach(({ labels, events: count }) => events.inc(labels, count));
  const latency = new Gauge({
    name: "catkinquay_latency_milliseconds",
    help: "Times since the start, by place and quantile",
    labelNames: ["place", "quantile"],
    registers,
  });
  histograms.forEach((histogram, place) =>
    latencyQuantiles.forEach(({ label, percentile }) =>
      latency.set(
        { place, quantile: label },
        histogram.getValueAtPercentile(percentile) /
          microsecondsPerMillisecond,
      )
    )
  );
  Object.entries(gaugeHelpTexts).forEach(([field, help]) =>
    new Gauge({ name: `catkinquay_${toSnakeCase(field)}`, help, registers })
      .set(Number(gauges[field as keyof MeshGauges]))
  );
  return registry.metrics();
}

function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
