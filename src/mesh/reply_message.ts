import type { GateLoad } from "../balancing/gate_load.ts";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { OfferOutcomeKind } from "./offer_outcome_kind.ts";

/** A reply between nodes. */
export interface ReplyMessage {
  readonly kind: OfferOutcomeKind;
  /** Load of the replying node's backend server. */
  readonly load: GateLoad;
  /** Present on answers: whether the end of the body can be recognised. */
  readonly framed?: boolean;
  /** Present on refusals and losses. */
  readonly reason?: RefusalReason;
  /** Present on refusals. */
  readonly retryMilliseconds?: number;
  /** Present on refusals. */
  readonly reachedBackendServer?: boolean;
}
