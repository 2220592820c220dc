import { LedgerEffectKind } from "../ledger_effect_kind.ts";
import type { LedgerEntry } from "../ledger_entry.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";
import type { LedgerServer } from "../ledger_server.ts";
import type { LedgerStep } from "../ledger_step.ts";
import { addServers } from "./add_servers.ts";
import { runKey } from "./run_key.ts";

type Settling = Extract<LedgerEntry, { kind: LedgerEntryKind.Settling }>;

/** Takes one server off the list of pending ones and adds those it names. */
export function crossOffServer(
  entry: Settling,
  from: string,
  { named }: { readonly named: readonly LedgerServer[] },
): LedgerStep {
  const asked = addServers(entry.asked, named);
  const added = asked.slice(entry.asked.length);
  const pending = [
    ...entry.pending.filter((name) => name !== from),
    ...added.map(({ name }) => name),
  ];
  return pending.length === 0 ? runKey(entry) : {
    entry: { ...entry, asked, pending },
    effects: added.map((server) => ({ kind: LedgerEffectKind.Ask, server })),
  };
}
