import type { Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import { getOrCreate } from "../collections/get_or_create.ts";
import { createLatencyHistogram } from "./create_latency_histogram.ts";
import { latencyQuantiles } from "./latency_quantiles.ts";
import type { LatencySummary } from "./latency_summary.ts";
import type { NodeGauges } from "./node_gauges.ts";
import type { NodeMetrics } from "./node_metrics.ts";

const microsecondsPerMillisecond = 1_000;
const answeredResult = "answered";

/** Name and help text of each gauge. */
const gaugeDefinitions: Readonly<
  Record<keyof NodeGauges, readonly [string, string]>
> = {
  versionNumber: [
    "catkinquay_version_number",
    "Number of the version in force; 0 for none",
  ],
  ready: ["catkinquay_ready", "1 while the node takes calls"],
  peers: ["catkinquay_peers", "Peers with a known record"],
  limit: ["catkinquay_backend_server_limit", "Calls admitted at once"],
  running: ["catkinquay_backend_server_running", "Calls that hold a slot"],
  queued: ["catkinquay_backend_server_queued", "Calls that wait for a slot"],
  platformReads: [
    "catkinquay_platform_reads",
    "Reads and watches sent to the platform",
  ],
  controlBytesSent: ["catkinquay_control_bytes_sent", "Control bytes sent"],
  controlBytesReceived: [
    "catkinquay_control_bytes_received",
    "Control bytes received",
  ],
  controlMessagesSent: [
    "catkinquay_control_messages_sent",
    "Control messages sent",
  ],
  controlMessagesReceived: [
    "catkinquay_control_messages_received",
    "Control messages received",
  ],
};

function createLatencySummary(
  service: string,
  histogram: Histogram,
): LatencySummary {
  return {
    service,
    count: histogram.totalCount,
    p50Milliseconds: histogram.getValueAtPercentile(50) /
      microsecondsPerMillisecond,
    p99Milliseconds: histogram.getValueAtPercentile(99) /
      microsecondsPerMillisecond,
    maximumMilliseconds: histogram.maxValue / microsecondsPerMillisecond,
  };
}

/** Creates the metrics of one node; each rendering calls `readGauges`. */
export function createNodeMetrics(readGauges: () => NodeGauges): NodeMetrics {
  const registry = new Registry();
  const calls = new Counter({
    name: "catkinquay_calls_total",
    help: "Calls from callers that ended, by service, priority and result",
    labelNames: ["service", "priority", "result"],
    registers: [registry],
  });
  const latency = new Gauge({
    name: "catkinquay_call_milliseconds",
    help: "Time of answered calls since the start, by service and quantile",
    labelNames: ["service", "quantile"],
    registers: [registry],
  });
  const gauges = Object.entries(gaugeDefinitions).map((
    [field, [name, help]],
  ) => ({
    field: field as keyof NodeGauges,
    gauge: new Gauge({ name, help, registers: [registry] }),
  }));
  const histograms = new Map<string, Histogram>();

  return {
    observe: (observation) => {
      calls.inc({
        service: observation.service,
        priority: observation.priority,
        result: observation.result,
      });
      if (observation.result !== answeredResult) {
        return;
      }
      const histogram = getOrCreate(histograms, observation.service, {
        create: createLatencyHistogram,
      });
      histogram.recordValue(
        Math.round(
          observation.elapsedMilliseconds * microsecondsPerMillisecond,
        ),
      );
    },
    render: () => {
      const values = readGauges();
      gauges.forEach(({ field, gauge }) => gauge.set(Number(values[field])));
      histograms.forEach((histogram, service) =>
        latencyQuantiles.forEach(({ label, percentile }) =>
          latency.set(
            { service, quantile: label },
            histogram.getValueAtPercentile(percentile) /
              microsecondsPerMillisecond,
          )
        )
      );
      return registry.metrics();
    },
    getLatencies: () =>
      [...histograms].map(([service, histogram]) =>
        createLatencySummary(service, histogram)
      ),
  };
}
