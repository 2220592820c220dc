import type { Refusal } from "./refusal.ts";

/** A refusal by the node beside a backend server. Its outcome applies to this attempt only. */
export interface NodeRefusal {
  readonly refusal: Refusal;
  /** Whether the ledger has shown that no earlier attempt with the call's key ran. */
  readonly keySettled: boolean;
}
