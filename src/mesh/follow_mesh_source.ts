import type { Listener } from "../daemon/listener.ts";
import { endFeed } from "../source/end_feed.ts";
import { followSource } from "../source/follow_source.ts";
import { publishFeedPart } from "../source/publish_feed_part.ts";
import type { SourceClient } from "../source/source_client.ts";
import type { SourceFollower } from "../source/source_follower.ts";
import { applyCallerLimits } from "./apply_caller_limits.ts";
import { applySourceReading } from "./apply_source_reading.ts";
import { confirmRulesByReading } from "./confirm_rules_by_reading.ts";
import { createNeighbourFeeds } from "./create_neighbour_feeds.ts";
import { getSourceBounds } from "./get_source_bounds.ts";
import type { MeshNode } from "./mesh_node.ts";
import { publishReading } from "./publish_reading.ts";
import { queryCrashEvidence } from "./query_crash_evidence.ts";
import { queryWithdrawals } from "./query_withdrawals.ts";
import { readClocks } from "./read_clocks.ts";
import { removeUnregisteredGateViews } from "./remove_unregistered_gate_views.ts";
import { setSourceAvailableSince } from "./set_source_available_since.ts";
import { updateGate } from "./update_gate.ts";
import { updateQuotas } from "./update_quotas.ts";

/**
 * Keeps the view of a node up to date and applies its changes to the gate, the
 * feed and the callers' listener.
 */
export function followMeshSource(
  node: MeshNode,
  options: {
    readonly client: SourceClient;
    /** The listener for callers, whose limits the operators publish. */
    readonly callers: Listener | undefined;
  },
): SourceFollower {
  const { client, callers } = options;
  let hasQueriedCrashes = false;
  return followSource({
    client,
    neighbours: createNeighbourFeeds(node),
    random: node.random,
    getBounds: () => getSourceBounds(node),
    wait: (milliseconds) =>
      new Promise((resolve) =>
        node.timers.at(node.clock.now() + milliseconds, resolve)
      ),
    handler: {
      onReadStart: () => {
        node.rulesConfirmation.readStartedAt = readClocks(node);
      },
      onReading: (reading, { complete, direct }) => {
        const now = node.clock.now();
        if (direct) confirmRulesByReading(node, reading);
        if (direct) publishReading(node, reading, { complete });
        applySourceReading(node.view, reading, { complete, now })
          .forEach(node.report.viewChange);
        applyCallerLimits(node, callers);
        removeUnregisteredGateViews(node);
        updateGate(node);
        updateQuotas(node);
        if (hasQueriedCrashes || node.view.register.size === 0) return;
        hasQueriedCrashes = true;
        void queryCrashEvidence(node);
        // Before the first return of the source nothing can have been lost.
        if (reading.era > 0) void queryWithdrawals(node);
      },
      // Confirms neither the rules nor the quotas: both need a complete reading.
      onPartReading: (reading) => {
        const now = node.clock.now();
        if (reading.era !== node.view.sourceEra) return;
        publishFeedPart(node.feed, reading, { now });
        applySourceReading(node.view, reading, { complete: false, now })
          .forEach(node.report.viewChange);
        removeUnregisteredGateViews(node);
        updateGate(node);
      },
      onPartFailure: (part, failure) =>
        node.report.state("source", { state: "part-lost", part, ...failure }),
      onLost: (failure) => {
        setSourceAvailableSince(node.view, {
          sourceAvailableSince: Number.POSITIVE_INFINITY,
          now: node.clock.now(),
        });
        endFeed(node.feed);
        node.report.state("source", { state: "lost", ...failure });
        updateGate(node);
      },
      onRegained: () => {
        const now = node.clock.now();
        setSourceAvailableSince(node.view, { sourceAvailableSince: now, now });
        node.report.state("source", { state: "regained" });
      },
    },
  });
}
