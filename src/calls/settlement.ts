import type { SettlementKind } from "./settlement_kind.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** The reply of a node to an outcome query. */
export type Settlement =
  | {
    readonly kind: SettlementKind.Finished;
    /** Undefined if the answer was too long to store. */
    readonly answer: StoredAnswer | undefined;
  }
  | {
    readonly kind:
      | SettlementKind.Running
      | SettlementKind.NotRun
      | SettlementKind.Unknown;
  };
