import type { RegisterEntry } from "../register/register_entry.ts";
import type { RulesChange } from "../routing/rules_change.ts";
import type { SourceFactKind } from "./source_fact_kind.ts";

/** A published item on its way to a neighbour: spans in place of instants, and of rules only what changed. */
export type FeedFact =
  | { readonly kind: SourceFactKind.Rules; readonly change: RulesChange }
  | { readonly kind: SourceFactKind.ZoneTakenOut; readonly zone: string }
  | {
    readonly kind: SourceFactKind.BackendServer;
    readonly entry: Omit<RegisterEntry, "coldUntil">;
    readonly coldMilliseconds: number;
  }
  | { readonly kind: SourceFactKind.Foreign; readonly found: string };
