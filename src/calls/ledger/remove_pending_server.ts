import { LedgerEffectKind } from "../ledger_effect_kind.ts";
import type { LedgerEntry } from "../ledger_entry.ts";
import { LedgerEntryKind } from "../ledger_entry_kind.ts";
import type { LedgerServer } from "../ledger_server.ts";
import type { LedgerStep } from "../ledger_step.ts";
import { addServers } from "./add_servers.ts";
import { allowKey } from "./allow_key.ts";

type Settling = Extract<LedgerEntry, { kind: LedgerEntryKind.Settling }>;

/**
 * Removes a server from the pending queries and queries the servers that it
 * named. Allows the key to run when no query is pending.
 */
export function removePendingServer(
  entry: Settling,
  from: string,
  { named }: { readonly named: readonly LedgerServer[] },
): LedgerStep {
  const queried = addServers(entry.queried, named);
  const newServers = queried.slice(entry.queried.length);
  const pending = [
    ...entry.pending.filter((name) => name !== from),
    ...newServers.map(({ name }) => name),
  ];
  return pending.length === 0 ? allowKey(entry) : {
    entry: { ...entry, queried, pending },
    effects: newServers.map((server) => ({
      kind: LedgerEffectKind.Query,
      server,
    })),
  };
}
