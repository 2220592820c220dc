import type { Histogram } from "hdr-histogram-js";
import { getOrCreate } from "../collections/get_or_create.ts";
import { createLatencyHistogram } from "../telemetry/create_latency_histogram.ts";
import type { CallEvent } from "./call_event.ts";
import { countOrganisationCall } from "./count_organisation_call.ts";
import type { CallEventCount } from "./call_event_count.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { ChoiceCount } from "./choice_count.ts";
import type { MeshMetrics } from "./mesh_metrics.ts";
import type { OrganisationCount } from "./organisation_count.ts";

const microsecondsPerMillisecond = 1_000;

/**
 * Creates the metrics of a node. The library that renders them is loaded by the
 * first scrape, since many nodes start at once after a power cut.
 */
export function createMeshMetrics(): MeshMetrics {
  const counts = new Map<string, CallEventCount>();
  const organisationCounts = new Map<string, OrganisationCount>();
  const choices = new Map<string, ChoiceCount>();
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
      getOrCreate(counts, `${kind} ${reason} ${outcome}`, {
        create: () => ({ labels: { kind, reason, outcome }, events: 0 }),
      }).events += 1;
      countOrganisationCall(organisationCounts, event);
      observeLatencies(event);
    },
    observeChoice: ({ way, place, reportAgeMilliseconds }) => {
      getOrCreate(choices, `${way} ${place}`, {
        create: () => ({ labels: { way, place }, choices: 0 }),
      }).choices += 1;
      recordLatency("load-report", reportAgeMilliseconds);
    },
    render: async (gauges, quotaCounts = []) => {
      const { renderMeshMetrics } = await import("./render_mesh_metrics.ts");
      return await renderMeshMetrics({
        counts: Array.from(counts.values()),
        choices: Array.from(choices.values()),
        quotaCounts,
        organisationCounts: Array.from(organisationCounts.values()),
        histograms,
        gauges,
      });
    },
  };
}
