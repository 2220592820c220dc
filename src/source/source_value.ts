import type { RegisterEntry } from "../register/register_entry.ts";
import type { Rules } from "../routing/rules.ts";
import type { SourceValueKind } from "./source_value_kind.ts";

/** The decoded value of a key of the source. */
export type SourceValue =
  | { readonly kind: SourceValueKind.Rules; readonly rules: Rules }
  | { readonly kind: SourceValueKind.ZoneTakenOut; readonly zone: string }
  | {
    readonly kind: SourceValueKind.BackendServer;
    readonly entry: RegisterEntry;
  }
  | {
    readonly kind: SourceValueKind.Foreign;
    /** Why the item was not decoded. */
    readonly found: string;
  };
