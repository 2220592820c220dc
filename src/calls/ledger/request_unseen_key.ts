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
import { runKey } from "./run_key.ts";

type Requested = Extract<LedgerEvent, { kind: LedgerEventKind.Requested }>;

/** Takes an attempt at a key of which this ledger knows nothing: whoever may have run it is asked first. */
export function requestUnseenKey(
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
  const quietEnd = context.ledgerSince + ledgerQuietMilliseconds;
  if (
    !isKeyWithinLedger(firstAttemptAt, { ...context, ledgerSince: quietEnd })
  ) {
    return refuseKey(createFence(fencers), event, {
      reason: RefusalReason.NodeStarting,
      mayHaveRun: false,
    });
  }
  const asked = addServers(event.predecessors, fencers);
  if (asked.length === 0) {
    return runKey(event);
  }
  return {
    entry: {
      kind: LedgerEntryKind.Settling,
      fingerprint,
      attemptIdentifier,
      firstAttemptAt,
      fencers,
      asked,
      pending: asked.map(({ name }) => name),
    },
    effects: asked.map((server) => ({ kind: LedgerEffectKind.Ask, server })),
  };
}
