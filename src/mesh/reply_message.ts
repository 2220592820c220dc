import type { GateLoad } from "../balancing/gate_load.ts";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { OfferOutcomeKind } from "./offer_outcome_kind.ts";

/** A reply between nodes. */
export interface ReplyMessage {
  readonly kind: OfferOutcomeKind;
  readonly load: GateLoad;
  /** On answers. */
  readonly framed?: boolean;
  /** On refusals and losses. */
  readonly reason?: RefusalReason;
  /** On refusals. */
  readonly retryMilliseconds?: number;
  /** On refusals. */
  readonly reachedBackendServer?: boolean;
}
