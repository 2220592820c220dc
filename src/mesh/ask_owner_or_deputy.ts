import { addHeldTokens } from "../quotas/add_held_tokens.ts";
import { chooseGranter } from "../quotas/choose_granter.ts";
import { getSubstituteHost } from "../quotas/get_substitute_host.ts";
import { noTokenGrant } from "../quotas/no_token_grant.ts";
import { QuotaMessageKind } from "../quotas/quota_message_kind.ts";
import { QuotaRole } from "../quotas/quota_role.ts";
import { recordOwnerFailure } from "../quotas/record_owner_failure.ts";
import type { TokenGrant } from "../quotas/token_grant.ts";
import { tokenGrantSchema } from "../quotas/token_grant_schema.ts";
import { tokenLifetimeMilliseconds } from "../quotas/token_lifetime_milliseconds.ts";
import type { TokenRequest } from "../quotas/token_request.ts";
import { grantQuotaTokens } from "./grant_quota_tokens.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { QuotaHolder } from "./quota_holder.ts";
import { sendQuotaMessage } from "./send_quota_message.ts";

/** Time after which an owner without a reply may have failed, or its VM is busy. */
const ownerReplyMilliseconds = 60;

interface Options {
  readonly organisation: string;
}

/**
 * Asks the owner of an organisation's quota for tokens. Asks the deputy as well if
 * the owner does not reply soon, and then waits for the owner only if the deputy
 * has too few tokens.
 */
export async function askOwnerOrDeputy(
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
  if (granter === undefined || host === undefined) return noTokenGrant;
  if (host !== granter.hosts.owner) {
    return await askHost(node, { ...options, host });
  }
  const ownerReply = askHost(node, { ...options, host }).then((grant) => {
    setOwnerReachable(node, holder, { ...options, host, grant });
    return grant;
  });
  const isOwn = host === node.settings.backendServer.host;
  const promptGrant = isOwn || request.waitingCalls === 0
    ? await ownerReply
    : await Promise.race([ownerReply, delay(node, ownerReplyMilliseconds)]);
  const isSufficient = promptGrant !== undefined &&
    (promptGrant.role === QuotaRole.Owner ||
      promptGrant.tokens >= request.waitingCalls);
  if (isSufficient) return promptGrant;
  const substitute = getSubstituteHost(granter, node.clock.now());
  if (substitute === undefined) return await ownerReply;
  const substituteGrant = await askHost(node, { ...options, host: substitute });
  if (substituteGrant.tokens < request.waitingCalls) {
    return addGrants(await ownerReply, substituteGrant);
  }
  void ownerReply.then(({ tokens }) =>
    addHeldTokens(holder.state, {
      tokens,
      expiresAt: sentAt + tokenLifetimeMilliseconds,
    })
  );
  return substituteGrant;
}

/** Adds the tokens; the grant of the node that is the owner tells the rest. */
function addGrants(first: TokenGrant, substitute: TokenGrant): TokenGrant {
  const isSubstituteDecisive = first.role === QuotaRole.None ||
    substitute.role === QuotaRole.Owner;
  return {
    ...(isSubstituteDecisive ? substitute : first),
    tokens: first.tokens + substitute.tokens,
  };
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
  return parsed.success ? parsed.data : noTokenGrant;
}
