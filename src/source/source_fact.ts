import type { RegisterEntry } from "../register/register_entry.ts";
import type { Rules } from "../routing/rules.ts";
import type { SourceFactKind } from "./source_fact_kind.ts";

/** The decoded value of a key of the source. */
export type SourceFact =
  | { readonly kind: SourceFactKind.Rules; readonly rules: Rules }
  | { readonly kind: SourceFactKind.ZoneTakenOut; readonly zone: string }
  | {
    readonly kind: SourceFactKind.BackendServer;
    readonly entry: RegisterEntry;
  }
  | {
    readonly kind: SourceFactKind.Foreign;
    /** Why the item was not decoded. */
    readonly found: string;
  };
