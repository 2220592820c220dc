import type { Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import { latencyQuantiles } from "../telemetry/latency_quantiles.ts";
import type { CallEventCount } from "./call_event_count.ts";
import type { ChoiceCount } from "./choice_count.ts";
import type { MeshGauges } from "./mesh_gauges.ts";
import type { OrganisationCount } from "./organisation_count.ts";
import type { QuotaCount } from "./quota_count.ts";

const microsecondsPerMillisecond = 1_000;

const gaugeHelpTexts: Readonly<Record<keyof MeshGauges, string>> = {
  rulesVersion: "Version of the rules in force; 0 for none",
  sourceEra: "How often the source came back from an older copy",
  sourceSoundMilliseconds:
    "Since when the source has answered without a failure; -1 while it does not",
  rulesAgeMilliseconds:
    "Since when the rules may lack a withdrawal of keys; -1 if no bound is set",
  organisations: "Organisations of the rules in force",
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
  quotasOwned: "Organisations whose quota this node grants",
  quotaOwnersUnreachable:
    "Organisations whose quota's owner did not answer this node",
  quarantinedRequests: "Requests refused for the crashes under them",
  stopping: "1 while the node stops",
};

/** Renders counters, latency quantiles and gauges in the Prometheus text format. */
export function renderMeshMetrics(
  options: {
    readonly counts: readonly CallEventCount[];
    readonly organisationCounts: readonly OrganisationCount[];
    readonly quotaCounts: readonly QuotaCount[];
    readonly choices: readonly ChoiceCount[];
    /** Latencies in microseconds, by place. */
    readonly histograms: ReadonlyMap<string, Histogram>;
    readonly gauges: MeshGauges;
  },
): Promise<string> {
  const {
    counts,
    organisationCounts,
    quotaCounts,
    choices,
    histograms,
    gauges,
  } = options;
  const registry = new Registry();
  const registers = [registry];
  const events = new Counter({
    name: "catkinquay_call_events_total",
    help: "Decisions on calls, by kind, reason and outcome",
    labelNames: ["kind", "reason", "outcome"],
    registers,
  });
  counts.forEach(({ labels, events: count }) => events.inc(labels, count));
  const organisationCalls = new Counter({
    name: "catkinquay_organisation_calls_total",
    help: "Ended calls by the caller's organisation and kind of end",
    labelNames: ["organisation", "kind"],
    registers,
  });
  organisationCounts.forEach(({ labels, calls }) =>
    organisationCalls.inc(labels, calls)
  );
  const quotaCalls = new Gauge({
    name: "catkinquay_quota_calls",
    help:
      "Calls of an organisation's quota since the start: granted to other nodes and itself, refused; and tokens held",
    labelNames: ["organisation", "kind"],
    registers,
  });
  quotaCounts.forEach(({ labels, calls }) => quotaCalls.set(labels, calls));
  const chosen = new Counter({
    name: "catkinquay_choices_total",
    help: "Backend servers chosen for offers, by way and place",
    labelNames: ["way", "place"],
    registers,
  });
  choices.forEach(({ labels, choices: count }) => chosen.inc(labels, count));
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
