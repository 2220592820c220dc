import type { Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import { getOrCreate } from "../collections/get_or_create.ts";
import { createLatencyHistogram } from "../telemetry/create_latency_histogram.ts";
import { latencyQuantiles } from "../telemetry/latency_quantiles.ts";
import type { CallEvent } from "./call_event.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { MeshGauges } from "./mesh_gauges.ts";
import type { MeshMetrics } from "./mesh_metrics.ts";

const microsecondsPerMillisecond = 1_000;

const gaugeHelpTexts: Readonly<Record<keyof MeshGauges, string>> = {
  rulesVersion: "Version of the rules in force; 0 for none",
  sourceSoundMilliseconds:
    "Since when the source has answered without a failure; -1 while it does not",
  feedFollowers: "Neighbours that learn of the source from this node",
  registeredServers: "Backend servers in the register",
  zonesTakenOut: "Availability zones that get no new work",
  running: "Calls at the backend server of this VM",
  queued: "Calls that wait for a slot of it",
  slots: "Its slots",
  cold: "1 while it is in cold start",
  open: "1 while it may get new work",
  callerCalls: "Calls of callers that have no answer yet",
  stopping: "1 while the node stops",
};

/** Creates the metrics of a node. */
export function createMeshMetrics(): MeshMetrics {
  const registry = new Registry();
  const events = new Counter({
    name: "catkinquay_call_events_total",
    help: "Decisions on calls, by kind, reason and outcome",
    labelNames: ["kind", "reason", "outcome"],
    registers: [registry],
  });
  const latency = new Gauge({
    name: "catkinquay_latency_milliseconds",
    help: "Times since the start, by place and quantile",
    labelNames: ["place", "quantile"],
    registers: [registry],
  });
  const gauges = Object.entries(gaugeHelpTexts).map(([field, help]) => ({
    field: field as keyof MeshGauges,
    gauge: new Gauge({
      name: `catkinquay_${toSnakeCase(field)}`,
      help,
      registers: [registry],
    }),
  }));
  const histograms = new Map<string, Histogram>();

  function recordLatency(
    place: string,
    milliseconds: number | undefined,
  ): void {
    if (milliseconds === undefined) return;
    getOrCreate(histograms, place, {
      create: createLatencyHistogram,
    }).recordValue(
      Math.round(milliseconds * microsecondsPerMillisecond),
    );
  }

  function observeLatencies(event: CallEvent): void {
    if (event.kind === CallEventKind.Answered) {
      recordLatency("caller", event.elapsedMilliseconds);
    }
    if (event.kind !== CallEventKind.Exchanged) return;
    recordLatency("queue", event.waitedMilliseconds);
    recordLatency("backend-server", event.elapsedMilliseconds);
  }

  return {
    observe: (event) => {
      const { kind, reason = "", outcome = "" } = event;
      events.inc({ kind, reason, outcome });
      observeLatencies(event);
    },
    render: (values) => {
      gauges.forEach(({ field, gauge }) => gauge.set(Number(values[field])));
      histograms.forEach((histogram, place) =>
        latencyQuantiles.forEach(({ label, percentile }) =>
          latency.set(
            { place, quantile: label },
            histogram.getValueAtPercentile(percentile) /
              microsecondsPerMillisecond,
          )
        )
      );
      return registry.metrics();
    },
  };
}

function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
