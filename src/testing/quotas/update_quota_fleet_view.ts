import { createGranterState } from "../../quotas/create_granter_state.ts";
import { establishOwner } from "../../quotas/establish_owner.ts";
import { getQuotaLimits } from "../../quotas/get_quota_limits.ts";
import type { HandoverTimes } from "../../quotas/handover_times.ts";
import { isQuotaLeased } from "../../quotas/is_quota_leased.ts";
import type { QuotaBounds } from "../../quotas/quota_bounds.ts";
import { rankQuotaHosts } from "../../quotas/rank_quota_hosts.ts";
import { setQuotaHosts } from "../../quotas/set_quota_hosts.ts";
import { setQuotaLimits } from "../../quotas/set_quota_limits.ts";
import { tryReleaseOwnership } from "../../quotas/try_release_ownership.ts";
import { isQuotaNodePaused } from "./is_quota_node_paused.ts";
import type { QuotaFleet, QuotaFleetNode } from "./quota_fleet.ts";

interface Options {
  readonly bounds: QuotaBounds;
  readonly times: HandoverTimes;
  readonly isReachable: (host: string) => QuotaFleetNode | undefined;
}

/** Applies what a node reads of the source, and takes the ownership over if it is due. */
export function updateQuotaFleetView(
  fleet: QuotaFleet,
  node: QuotaFleetNode,
  options: Options,
): void {
  if (!node.isSourceReachable) return;
  const readAt = fleet.now - node.lagMilliseconds;
  const read = fleet.versions.findLast(({ since }) => since <= readAt);
  node.confirmedAt = fleet.now;
  if (read === undefined) return;
  const isOlder = node.version !== undefined &&
    read.since <= node.version.since;
  if (!isOlder) applyVersion(fleet, node, { ...options, read });
  tryTakeOwnership(fleet, node, options);
}

function applyVersion(
  fleet: QuotaFleet,
  node: QuotaFleetNode,
  options: Options & { readonly read: QuotaFleet["versions"][number] },
): void {
  const { bounds, times: { handoverMilliseconds }, read } = options;
  const now = fleet.now - node.suspendedMilliseconds;
  const ownHost = node.host;
  const hosts = rankQuotaHosts(read.organisation.name, read.hosts);
  const limits = getQuotaLimits(read.organisation, bounds);
  node.version = read;
  if (node.granter === undefined) {
    const newHosts = new Set(
      fleet.nodes.filter(({ newUntil }) => fleet.now < newUntil)
        .map(({ host }) => host),
    );
    node.granter = createGranterState({
      hosts,
      limits,
      ownHost,
      establishedAt: now + handoverMilliseconds,
      newHosts,
      now,
    });
    return;
  }
  setQuotaHosts(node.granter, {
    hosts,
    ownHost,
    handoverMilliseconds,
    leaseNow: fleet.now,
    now,
  });
  setQuotaLimits(node.granter, { limits, now });
}

function tryTakeOwnership(
  fleet: QuotaFleet,
  node: QuotaFleetNode,
  options: Options,
): void {
  const { granter } = node;
  const now = fleet.now - node.suspendedMilliseconds;
  const handover = granter?.handover;
  if (granter === undefined || handover === undefined) return;
  const isWaiting = Number.isFinite(granter.establishedAt) &&
    now < granter.establishedAt;
  if (!isWaiting || isQuotaNodePaused(fleet, node, options)) return;
  const isReleased = handover.hosts
    .map((host) => askForRelease(fleet, node, { ...options, host }))
    .every((released) =>
      handover.needsRelease ? released === true : released !== undefined
    );
  if (isReleased) establishOwner(granter, { establishedAt: now });
}

function askForRelease(
  fleet: QuotaFleet,
  node: QuotaFleetNode,
  options: Options & { readonly host: string },
): boolean | undefined {
  const { host, isReachable, times: { handoverMilliseconds } } = options;
  const other = isReachable(host);
  if (other?.granter === undefined) return undefined;
  const now = fleet.now - other.suspendedMilliseconds;
  const isLeased = isQuotaLeased(other.granter, now);
  const isReleased = tryReleaseOwnership(other.granter, {
    host: node.host,
    handoverMilliseconds,
    leaseNow: fleet.now,
    now,
  });
  if (!isLeased) return isReleased;
  const hasLease = node.granter !== undefined &&
    fleet.now < node.granter.leaseUntil;
  return isReleased && hasLease ? true : undefined;
}
