import { addHeldTokens } from "../quotas/add_held_tokens.ts";
import { chooseGranter } from "../quotas/choose_granter.ts";
import { getSubstituteHost } from "../quotas/get_substitute_host.ts";
import { getTokensToRequest } from "../quotas/get_tokens_to_request.ts";
import { QuotaMessageKind } from "../quotas/quota_message_kind.ts";
import { QuotaRole } from "../quotas/quota_role.ts";
import { recordOwnerFailure } from "../quotas/record_owner_failure.ts";
import { recordTokenGrant } from "../quotas/record_token_grant.ts";
import type { TokenGrant } from "../quotas/token_grant.ts";
import type { TokenRequest } from "../quotas/token_request.ts";
import { tokenGrantSchema } from "../quotas/token_grant_schema.ts";
import { tokenLifetimeMilliseconds } from "../quotas/token_lifetime_milliseconds.ts";
import { tryTakeToken } from "../quotas/try_take_token.ts";
import { grantQuotaTokens } from "./grant_quota_tokens.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { QuotaHolder } from "./quota_holder.ts";
import { reportInternalError } from "./report_internal_error.ts";
import { sendQuotaMessage } from "./send_quota_message.ts";

/** An owner that is slower than this may have failed, or its VM is busy. */
const ownerReplyMilliseconds = 60;
const noGrant: TokenGrant = {
  role: QuotaRole.None,
  tokens: 0,
  retryMilliseconds: 0,
};

interface Options {
  readonly organisation: string;
}

/**
 * Requests tokens for all calls that wait, and for those expected soon; again
 * while further calls wait. One request of an organisation is in flight.
 */
export async function requestTokens(
  node: MeshNode,
  holder: QuotaHolder,
  options: Options,
): Promise<void> {
  if (holder.requesting) return;
  holder.requesting = true;
  try {
    do {
      await requestOnce(node, holder, options);
    } while (holder.waiters.length > 0);
  } catch (error) {
    reportInternalError(node, { callIdentifier: "quota", error });
    holder.waiters.splice(0).forEach((settle) => settle(undefined));
  } finally {
    holder.requesting = false;
  }
}

/** Settles the calls that wait at the beginning, and others for which there are tokens. */
async function requestOnce(
  node: MeshNode,
  holder: QuotaHolder,
  options: Options,
): Promise<void> {
  const { state, waiters } = holder;
  const { leaseClock } = node.quotas;
  const sentAt = leaseClock.now();
  const waitingCalls = waiters.length;
  const request: TokenRequest = {
    waitingCalls,
    expectedCalls: getTokensToRequest(state, sentAt),
  };
  const grant = await askOwnerOrDeputy(node, holder, { ...options, request });
  const now = leaseClock.now();
  recordTokenGrant(state, grant, { sentAt, now });
  const refusedCalls = Math.max(0, waitingCalls - grant.tokens);
  waiters.splice(0, waitingCalls - refusedCalls)
    .forEach((settle) => settle(tryTakeToken(state, leaseClock.now())));
  // Those that came meanwhile would be refused as well.
  if (refusedCalls > 0) {
    waiters.splice(0).forEach((settle) => settle(undefined));
  }
}

/**
 * Asks the deputy as well if the owner does not reply soon, and then waits for
 * the owner only if the deputy has too few tokens.
 */
async function askOwnerOrDeputy(
  node: MeshNode,
  holder: QuotaHolder,
  options: Options & { readonly request: TokenRequest },
): Promise<TokenGrant> {
  const { request } = options;
  const { granters, leaseClock } = node.quotas;
  const granter = granters.get(options.organisation);
  const sentAt = leaseClock.now();
  const host = granter === undefined
    ? undefined
    : chooseGranter(holder.state, { hosts: granter.hosts, now: sentAt });
  if (granter === undefined || host === undefined) return noGrant;
  if (host !== granter.hosts.owner) {
    return await askHost(node, { ...options, host });
  }
  const replying = askHost(node, { ...options, host }).then((grant) => {
    setOwnerReachable(node, holder, { ...options, host, grant });
    return grant;
  });
  const isOwn = host === node.settings.backendServer.host;
  const grant = isOwn || request.waitingCalls === 0
    ? await replying
    : await Promise.race([replying, delay(node, ownerReplyMilliseconds)]);
  const substitute = getSubstituteHost(granter, node.clock.now());
  const isSufficient = grant !== undefined &&
    (grant.role === QuotaRole.Owner || grant.tokens >= request.waitingCalls);
  if (isSufficient) return grant;
  if (substitute === undefined) return await replying;
  const inPlace = await askHost(node, { ...options, host: substitute });
  if (inPlace.tokens >= request.waitingCalls) {
    void replying.then(({ tokens }) =>
      addHeldTokens(holder.state, {
        tokens,
        expiresAt: sentAt + tokenLifetimeMilliseconds,
      })
    );
    return inPlace;
  }
  const late = await replying;
  return late.role === QuotaRole.None || inPlace.role === QuotaRole.Owner
    ? { ...inPlace, tokens: late.tokens + inPlace.tokens }
    : { ...late, tokens: late.tokens + inPlace.tokens };
}

function delay(node: MeshNode, milliseconds: number): Promise<undefined> {
  return new Promise((resolve) =>
    node.timers.at(node.clock.now() + milliseconds, () => resolve(undefined))
  );
}

function setOwnerReachable(
  node: MeshNode,
  holder: QuotaHolder,
  options: Options & { readonly host: string; readonly grant: TokenGrant },
): void {
  const { organisation, host, grant } = options;
  const isOwnerUnreachable = grant.role === QuotaRole.None;
  if (isOwnerUnreachable) {
    recordOwnerFailure(holder.state, node.quotas.leaseClock.now());
  } else {
    holder.state.ownerFailures = 0;
  }
  if (isOwnerUnreachable === holder.isOwnerUnreachable) return;
  holder.isOwnerUnreachable = isOwnerUnreachable;
  node.report.state("quotas", {
    state: isOwnerUnreachable ? "owner-unreachable" : "owner-reached",
    organisation,
    host,
  });
}

/** Resolves with a grant of the role `None` if the node does not reply. */
async function askHost(
  node: MeshNode,
  options: Options & { readonly host: string; readonly request: TokenRequest },
): Promise<TokenGrant> {
  const { organisation, host, request } = options;
  const ownHost = node.settings.backendServer.host;
  if (host === ownHost) {
    // Further tokens can be had without a message.
    return grantQuotaTokens(node, { ...request, expectedCalls: 0 }, {
      organisation,
      host,
    });
  }
  const reply = await sendQuotaMessage(node, {
    kind: QuotaMessageKind.Tokens,
    organisation,
    host: ownHost,
    ...request,
  }, { host });
  const parsed = tokenGrantSchema.safeParse(reply);
  return parsed.success ? parsed.data : noGrant;
}
