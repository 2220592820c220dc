import { establishOwner } from "../quotas/establish_owner.ts";
import type { GranterState } from "../quotas/granter_state.ts";
import { QuotaMessageKind } from "../quotas/quota_message_kind.ts";
import { releaseReplySchema } from "../quotas/release_reply_schema.ts";
import { isGrantingPaused } from "./is_granting_paused.ts";
import type { MeshNode } from "./mesh_node.ts";
import { sendQuotaMessage } from "./send_quota_message.ts";

const attemptsMaximum = 8;
const attemptIntervalMilliseconds = 250;

/**
 * Asks those that may be the owner in the view of other nodes to give the quota
 * up, so that this node need not wait until they cannot grant any more. Does
 * nothing if this node is not the owner, is established, or would not grant: a
 * node that stops leaves the lease with its deputy.
 */
export function requestOwnership(
  node: MeshNode,
  granter: GranterState,
  options: { readonly organisation: string; readonly attempts?: number },
): void {
  const { organisation, attempts = attemptsMaximum } = options;
  const { handover, establishedAt } = granter;
  const isWaiting = Number.isFinite(establishedAt) &&
    establishedAt > node.clock.now();
  if (!isWaiting || handover === undefined || isGrantingPaused(node)) return;
  void Promise.all(
    handover.hosts.map((host) =>
      askForRelease(node, granter, { organisation, host })
    ),
  ).then((replies) => {
    // Another node has asked this one meanwhile, or the view has changed.
    if (granter.establishedAt !== establishedAt) return;
    const isReleased = replies.every((released) =>
      handover.needsRelease ? released === true : released !== undefined
    );
    if (isReleased) {
      establishOwner(granter, { establishedAt: node.clock.now() });
      return;
    }
    if (attempts <= 1) return;
    node.timers.at(
      node.clock.now() + attemptIntervalMilliseconds,
      () =>
        requestOwnership(node, granter, {
          organisation,
          attempts: attempts - 1,
        }),
    );
  });
}

/**
 * Resolves with undefined without a reply, or if the deputy of that node may
 * grant, unless this node is that deputy and has not given the lease up.
 */
async function askForRelease(
  node: MeshNode,
  granter: GranterState,
  options: { readonly organisation: string; readonly host: string },
): Promise<boolean | undefined> {
  const { organisation, host } = options;
  const ownHost = node.settings.backendServer.host;
  // This node has not granted as owner since it waits.
  if (host === ownHost) return undefined;
  const reply = await sendQuotaMessage(node, {
    kind: QuotaMessageKind.Release,
    organisation,
    host: ownHost,
  }, { host });
  const parsed = releaseReplySchema.safeParse(reply);
  if (!parsed.success) return undefined;
  const { leased, released } = parsed.data;
  if (leased !== true) return released;
  const hasLease = node.quotas.leaseClock.now() < granter.leaseUntil;
  return released && hasLease ? true : undefined;
}
