import type { Organisation } from "../organisations/organisation.ts";
import { createGranterState } from "../quotas/create_granter_state.ts";
import { getHandoverTimes } from "../quotas/get_handover_times.ts";
import { getQuotaLimits } from "../quotas/get_quota_limits.ts";
import { rankQuotaHosts } from "../quotas/rank_quota_hosts.ts";
import { setQuotaHosts } from "../quotas/set_quota_hosts.ts";
import { setQuotaLimits } from "../quotas/set_quota_limits.ts";
import { hasQuota } from "./has_quota.ts";
import { listNewHosts } from "./list_new_hosts.ts";
import { listQuotaHosts } from "./list_quota_hosts.ts";
import type { MeshNode } from "./mesh_node.ts";
import { requestOwnership } from "./request_ownership.ts";

/**
 * Applies a reading of the source to the quotas: which node grants the tokens
 * of each organisation, and how many.
 */
export function updateQuotas(node: MeshNode): void {
  const { quotas, settings, view } = node;
  quotas.confirmedAt = quotas.leaseClock.now();
  const organisations = Array.from(view.rules?.organisations.values() ?? [])
    .filter(hasQuota);
  if (organisations.length === 0 && quotas.granters.size === 0) return;
  const isSame = quotas.organisations === view.rules?.organisations &&
    quotas.bounds === settings.quotaBounds;
  const hosts = listQuotaHosts(node);
  const hasSameHosts = hosts.join() === quotas.hosts.join();
  takeLeasedQuotasBack(node);
  if (isSame && hasSameHosts) return;
  quotas.hosts = hosts;
  quotas.organisations = view.rules?.organisations;
  quotas.bounds = settings.quotaBounds;
  removeOtherQuotas(quotas, organisations);
  organisations.forEach((organisation) => updateGranter(node, organisation));
  reportOwnedQuotas(node);
}

/** Takes back what this node leased while its view was outdated: the view is current again. */
function takeLeasedQuotasBack(node: MeshNode): void {
  node.quotas.granters.forEach((granter, organisation) => {
    if (granter.lessee === undefined) return;
    requestOwnership(node, granter, { organisation, attempts: 1 });
  });
}

/** Removes what is kept for organisations that have no quota any more. */
function removeOtherQuotas(
  { granters, holders, grantedTokens }: MeshNode["quotas"],
  organisations: readonly Organisation[],
): void {
  const names = new Set(organisations.map(({ name }) => name));
  [granters, holders, grantedTokens].forEach((map) =>
    Array.from(map.keys())
      .filter((name) => !names.has(name))
      .forEach((name) => map.delete(name))
  );
}

function updateGranter(node: MeshNode, organisation: Organisation): void {
  const { quotas, settings } = node;
  const { name } = organisation;
  const now = node.clock.now();
  const ownHost = settings.backendServer.host;
  const { handoverMilliseconds } = getHandoverTimes(settings.sourceBounds);
  const hosts = rankQuotaHosts(name, quotas.hosts);
  const limits = getQuotaLimits(organisation, settings.quotaBounds);
  const granter = quotas.granters.get(name);
  if (granter === undefined) {
    const created = createGranterState({
      hosts,
      limits,
      ownHost,
      establishedAt: now + handoverMilliseconds,
      newHosts: listNewHosts(node, { handoverMilliseconds }),
      now,
    });
    quotas.granters.set(name, created);
    requestOwnership(node, created, { organisation: name });
    return;
  }
  const previous = granter.hosts;
  setQuotaHosts(granter, {
    hosts,
    ownHost,
    handoverMilliseconds,
    leaseNow: quotas.leaseClock.now(),
    now,
  });
  setQuotaLimits(granter, { limits, now });
  if (hosts.owner === previous.owner) return;
  // The reasons for which calls were refused may have ended.
  const holder = quotas.holders.get(name);
  if (holder !== undefined) {
    holder.state.ownerRetryAt = Number.NEGATIVE_INFINITY;
    holder.state.ownerFailures = 0;
    holder.state.refusedUntil = Number.NEGATIVE_INFINITY;
  }
  requestOwnership(node, granter, { organisation: name });
}

function reportOwnedQuotas({ quotas, settings, report }: MeshNode): void {
  const ownHost = settings.backendServer.host;
  const owned = Array.from(quotas.granters.values())
    .filter(({ hosts }) => hosts.owner === ownHost).length;
  report.state("quotas", {
    state: "granters-changed",
    hosts: quotas.hosts.length,
    organisations: quotas.granters.size,
    owned,
  });
}
