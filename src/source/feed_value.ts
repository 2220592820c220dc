import type { RegisterEntry } from "../register/register_entry.ts";
import type { RulesChange } from "../routing/rules_change.ts";
import type { SourceValueKind } from "./source_value_kind.ts";

/**
 * The decoded value of a key as it is sent to a neighbour. Instants are replaced
 * by durations, and rules by their difference to the previous version.
 */
export type FeedValue =
  | { readonly kind: SourceValueKind.Rules; readonly change: RulesChange }
  | { readonly kind: SourceValueKind.ZoneTakenOut; readonly zone: string }
  | {
    readonly kind: SourceValueKind.BackendServer;
    readonly entry: Omit<RegisterEntry, "coldUntil">;
    /** Remaining time of the announced cold start when the item was read; 0 for none. */
    readonly coldMilliseconds: number;
  }
  | {
    readonly kind: SourceValueKind.Foreign;
    /** Why the item was not decoded. */
    readonly found: string;
  };
