import { isKeyWithinLedger } from "../is_key_within_ledger.ts";
import type { LedgerContext } from "../ledger_context.ts";
import { LedgerEffectKind } from "../ledger_effect_kind.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";
import type { LedgerEvent } from "../ledger_event.ts";
import { LedgerEventKind } from "../ledger_event_kind.ts";
import { ledgerQuietMilliseconds } from "../ledger_quiet_milliseconds.ts";
import type { LedgerServer } from "../ledger_server.ts";
import type { LedgerStep } from "../ledger_step.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { addServers } from "./add_servers.ts";
import { createFence } from "./create_fence.ts";
import { refuseKey } from "./refuse_key.ts";
import { allowKey } from "./allow_key.ts";

type Requested = Extract<LedgerEvent, { kind: LedgerEventKind.Requested }>;

/**
 * Handles an attempt with a key that has no entry except fences: every server
 * that may have run the key is queried first. Refuses the attempt if this ledger
 * began too recently to cover the key, or if the first attempt with the key was
 * made before the quiet period ended.
 */
export function handleNewKeyRequest(
  fencers: readonly LedgerServer[],
  event: Requested,
  context: LedgerContext,
): LedgerStep {
  const { fingerprint, attemptIdentifier, firstAttemptAt } = event;
  if (!isKeyWithinLedger(firstAttemptAt, context)) {
    return refuseKey(createFence(fencers), event, {
      reason: RefusalReason.KeyUnsettled,
      mayHaveRun: false,
    });
  }
  const quietPeriodEnd = context.ledgerSince + ledgerQuietMilliseconds;
  if (
    !isKeyWithinLedger(firstAttemptAt, {
      ...context,
      ledgerSince: quietPeriodEnd,
    })
  ) {
    return refuseKey(createFence(fencers), event, {
      reason: RefusalReason.NodeStarting,
      mayHaveRun: false,
    });
  }
  const queried = addServers(event.predecessors, fencers);
  if (queried.length === 0) {
    return allowKey(event);
  }
  return {
    entry: {
      kind: LedgerEntryKind.Settling,
      fingerprint,
      attemptIdentifier,
      firstAttemptAt,
      fencers,
      queried,
      pending: queried.map(({ name }) => name),
    },
    effects: queried.map((server) => ({
      kind: LedgerEffectKind.Query,
      server,
    })),
  };
}
