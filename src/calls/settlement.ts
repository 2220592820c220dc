import type { SettlementKind } from "./settlement_kind.ts";
import type { StoredAnswer } from "./stored_answer.ts";

/** What a node answers when it is asked for the outcome of a try. */
export type Settlement =
  | {
    readonly kind: SettlementKind.Finished;
    /** Undefined where the answer was too long to keep. */
    readonly answer: StoredAnswer | undefined;
  }
  | {
    readonly kind:
      | SettlementKind.Running
      | SettlementKind.NotRun
      | SettlementKind.Unknown;
  };
