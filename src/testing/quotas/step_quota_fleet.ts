import { addHeldTokens } from "../../quotas/add_held_tokens.ts";
import { chooseGranter } from "../../quotas/choose_granter.ts";
import { countQuotaCall } from "../../quotas/count_quota_call.ts";
import { getQuotaRole } from "../../quotas/get_quota_role.ts";
import { getSubstituteHost } from "../../quotas/get_substitute_host.ts";
import { getTokensToRequest } from "../../quotas/get_tokens_to_request.ts";
import { grantTokens } from "../../quotas/grant_tokens.ts";
import type { HandoverTimes } from "../../quotas/handover_times.ts";
import type { QuotaBounds } from "../../quotas/quota_bounds.ts";
import { noTokenGrant } from "../../quotas/no_token_grant.ts";
import { QuotaRole } from "../../quotas/quota_role.ts";
import { recordOwnerFailure } from "../../quotas/record_owner_failure.ts";
import { recordTokenGrant } from "../../quotas/record_token_grant.ts";
import { shouldRequestLease } from "../../quotas/should_request_lease.ts";
import { startLease } from "../../quotas/start_lease.ts";
import { tryLeaseQuota } from "../../quotas/try_lease_quota.ts";
import { shouldRefreshTokens } from "../../quotas/should_refresh_tokens.ts";
import type { TokenGrant } from "../../quotas/token_grant.ts";
import { tryTakeToken } from "../../quotas/try_take_token.ts";
import { isQuotaNodePaused } from "./is_quota_node_paused.ts";
import type { QuotaFleet, QuotaFleetNode } from "./quota_fleet.ts";
import { restartQuotaNode } from "./restart_quota_node.ts";
import { updateQuotaFleetView } from "./update_quota_fleet_view.ts";

interface Options {
  readonly bounds: QuotaBounds;
  readonly times: HandoverTimes;
}

/** Time between the end of a process that stops and the next one. */
const startMilliseconds = 500;

/** Advances virtual time; `calls` has the new calls of each node. */
export function stepQuotaFleet(
  fleet: QuotaFleet,
  options: Options & {
    readonly elapsedMilliseconds: number;
    readonly calls: readonly number[];
  },
): void {
  const { elapsedMilliseconds, calls } = options;
  fleet.now += elapsedMilliseconds;
  fleet.nodes.forEach((node, index) => {
    if (fleet.now >= node.stopsAt) {
      restartQuotaNode(fleet, node, { afterMilliseconds: startMilliseconds });
    }
    if (fleet.now < node.startsAt) return;
    if (fleet.now < node.suspendedUntil) {
      node.suspendedMilliseconds += elapsedMilliseconds;
      return;
    }
    updateQuotaFleetView(fleet, node, {
      ...options,
      isReachable: (host) => findReachable(fleet, node, host),
    });
    receiveGrant(fleet, node);
    Array.from({ length: calls[index] ?? 0 }, () => handleCall(fleet, node));
    sendRequest(fleet, node, options);
  });
}

function findReachable(
  fleet: QuotaFleet,
  node: QuotaFleetNode,
  host: string,
): QuotaFleetNode | undefined {
  return fleet.nodes.find((other) =>
    other.host === host && other.side === node.side &&
    fleet.now >= other.startsAt && fleet.now >= other.suspendedUntil
  );
}

function run(fleet: QuotaFleet, node: QuotaFleetNode): boolean {
  const token = tryTakeToken(node.holder, fleet.now);
  if (token === undefined) return false;
  const hasRun = fleet.random() >= fleet.notRunShare;
  if (hasRun) fleet.runs.push(fleet.now);
  else addHeldTokens(node.holder, token);
  return true;
}

function handleCall(fleet: QuotaFleet, node: QuotaFleetNode): void {
  countQuotaCall(node.holder, fleet.now);
  if (run(fleet, node)) return;
  if (fleet.now < node.holder.refusedUntil) {
    fleet.refusals.push(fleet.now);
    return;
  }
  node.waitingCalls += 1;
}

function receiveGrant(fleet: QuotaFleet, node: QuotaFleetNode): void {
  const { pending } = node;
  if (pending === undefined || pending.arrivesAt > fleet.now) return;
  node.pending = undefined;
  const { grant, sentAt, waitingCalls } = pending;
  recordTokenGrant(node.holder, grant, { sentAt, now: fleet.now });
  const granted = Math.min(waitingCalls, grant.tokens);
  const refused = granted < waitingCalls ? node.waitingCalls - granted : 0;
  Array.from({ length: granted }, () => run(fleet, node));
  Array.from({ length: refused }, () => fleet.refusals.push(fleet.now));
  node.waitingCalls -= granted + refused;
}

function sendRequest(
  fleet: QuotaFleet,
  node: QuotaFleetNode,
  options: Options,
): void {
  const { holder, granter, waitingCalls } = node;
  if (node.pending !== undefined || granter === undefined) return;
  if (waitingCalls === 0 && !shouldRefreshTokens(holder, fleet.now)) return;
  const { hosts } = granter;
  const host = chooseGranter(holder, { hosts, now: fleet.now });
  const isOwner = host === hosts.owner;
  const first = ask(fleet, node, { ...options, host });
  const isFailed = first.role === QuotaRole.None;
  if (isOwner && isFailed) recordOwnerFailure(holder, fleet.now);
  if (isOwner && !isFailed) holder.ownerFailures = 0;
  const isSufficient = first.role === QuotaRole.Owner ||
    first.tokens >= waitingCalls;
  const substitute = getSubstituteHost(
    granter,
    fleet.now - node.suspendedMilliseconds,
  );
  const second = isOwner && !isSufficient
    ? ask(fleet, node, { ...options, host: substitute })
    : noTokenGrant;
  const grant = second.role === QuotaRole.None
    ? first
    : { ...second, tokens: first.tokens + second.tokens };
  node.pending = {
    grant,
    sentAt: fleet.now,
    arrivesAt: host === node.host
      ? fleet.now
      : fleet.now + fleet.random() * fleet.replyMilliseconds,
    waitingCalls,
  };
  if (host === node.host) receiveGrant(fleet, node);
}

function ask(
  fleet: QuotaFleet,
  node: QuotaFleetNode,
  options: Options & { readonly host: string | undefined },
): TokenGrant {
  const { host } = options;
  const other = host === undefined
    ? undefined
    : findReachable(fleet, node, host);
  const isOwn = other === node;
  if (!isOwn) fleet.messages += 1;
  if (other?.granter === undefined) return noTokenGrant;
  const now = fleet.now - other.suspendedMilliseconds;
  const role = getQuotaRole(other.granter, {
    ownHost: other.host,
    isPaused: isQuotaNodePaused(fleet, other, options),
    leaseNow: fleet.now,
    now,
  });
  if (role !== QuotaRole.None) requestLease(fleet, other, options);
  return grantTokens(other.granter, {
    waitingCalls: node.waitingCalls,
    expectedCalls: isOwn ? 0 : getTokensToRequest(node.holder, fleet.now),
  }, { role, host: node.host, now });
}

function requestLease(
  fleet: QuotaFleet,
  node: QuotaFleetNode,
  options: Options,
): void {
  const { granter, host } = node;
  const { handoverMilliseconds } = options.times;
  const now = fleet.now - node.suspendedMilliseconds;
  const leaseNow = fleet.now;
  if (granter === undefined) return;
  const owner = granter.hosts.owner === undefined
    ? undefined
    : findReachable(fleet, node, granter.hosts.owner);
  if (!shouldRequestLease(granter, { ownHost: host, leaseNow, now })) return;
  granter.leaseRequestedAt = now;
  if (owner?.granter === undefined) return;
  const isLeased = tryLeaseQuota(owner.granter, {
    host,
    isPaused: isQuotaNodePaused(fleet, owner, options),
    handoverMilliseconds,
    now: fleet.now - owner.suspendedMilliseconds,
  });
  if (!isLeased) return;
  startLease(granter, {
    requestedAt: leaseNow,
    leaseNow,
    handoverMilliseconds,
    now,
  });
}
