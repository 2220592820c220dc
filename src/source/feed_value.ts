import type { RegisterEntry } from "../register/register_entry.ts";
import type { RulesChange } from "../routing/rules_change.ts";
import type { SourceFactKind } from "./source_fact_kind.ts";

/**
 * The decoded value of a key as it is sent to a neighbour. Instants are replaced
 * by durations, and rules by their difference to the previous version.
 */
export type FeedValue =
  | { readonly kind: SourceFactKind.Rules; readonly change: RulesChange }
  | { readonly kind: SourceFactKind.ZoneTakenOut; readonly zone: string }
  | {
    readonly kind: SourceFactKind.BackendServer;
    readonly entry: Omit<RegisterEntry, "coldUntil">;
    /** Remaining time of the announced cold start when the item was read; 0 for none. */
    readonly coldMilliseconds: number;
  }
  | {
    readonly kind: SourceFactKind.Foreign;
    /** Why the item was not decoded. */
    readonly found: string;
  };
