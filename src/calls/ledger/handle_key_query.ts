import { match, P } from "ts-pattern";
import type { KeySettlement } from "../key_settlement.ts";
import type { LedgerContext } from "../ledger_context.ts";
import { LedgerEffectKind } from "../ledger_effect_kind.ts";
import type { LedgerEntry } from "../ledger_entry.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";
import type { LedgerServer } from "../ledger_server.ts";
import type { LedgerStep } from "../ledger_step.ts";
import { SettlementKind } from "../settlement_kind.ts";
import { addServers } from "./add_servers.ts";
import { createFence } from "./create_fence.ts";

/**
 * Replies to another ledger that queries a key, and records it as a fencer of a
 * key that has not run here.
 */
export function handleKeyQuery(
  entry: LedgerEntry | undefined,
  by: LedgerServer,
  context: LedgerContext,
): LedgerStep {
  const createReplyStep = (
    next: LedgerEntry | undefined,
    settlement: KeySettlement,
  ): LedgerStep => ({
    entry: next,
    effects: [{ kind: LedgerEffectKind.Reply, settlement }],
  });
  return match(entry)
    .with(P.union(undefined, { kind: LedgerEntryKind.Fenced }), (fenced) => {
      const fencers = fenced?.fencers ?? [];
      return createReplyStep(createFence(addServers(fencers, [by])), {
        kind: SettlementKind.NotRun,
        ledgerSince: context.ledgerSince,
        fencers: fencers.filter(({ name }) => name !== by.name),
      });
    })
    .with(
      { kind: P.union(LedgerEntryKind.Settling, LedgerEntryKind.Running) },
      (existing) => createReplyStep(existing, { kind: SettlementKind.Running }),
    )
    .with(
      { kind: LedgerEntryKind.Unknown },
      (existing) => createReplyStep(existing, { kind: SettlementKind.Unknown }),
    )
    .with(
      { kind: LedgerEntryKind.Finished },
      (existing) =>
        createReplyStep(existing, {
          kind: SettlementKind.Finished,
          fingerprint: existing.fingerprint,
          answer: existing.answer,
        }),
    )
    .exhaustive();
}
