import type { Readable } from "node:stream";
import type { GateLoad } from "../balancing/gate_load.ts";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { ContactLossCause } from "../offers/contact_loss_cause.ts";
import type { OfferOutcomeKind } from "./offer_outcome_kind.ts";

/**
 * The outcome of an offer. `load` is undefined if the other node did not report
 * it.
 */
export type OfferOutcome =
  | {
    readonly kind: OfferOutcomeKind.Answered;
    readonly status: number;
    /** Alternating names and values, without hop-by-hop headers. */
    readonly headers: readonly string[];
    /** Whether the end of the body can be recognised. */
    readonly framed: boolean;
    /** The stated length of the body; undefined if it has none or is not known. */
    readonly bodyBytes?: number | undefined;
    /** Emits an error if the answer breaks off. */
    readonly body: Readable;
    readonly load: GateLoad | undefined;
  }
  | {
    readonly kind: OfferOutcomeKind.Refused;
    readonly reason: RefusalReason;
    readonly retryMilliseconds: number;
    /** Whether the backend server itself rejected the request. */
    readonly reachedBackendServer: boolean;
    readonly load: GateLoad | undefined;
  }
  | {
    readonly kind: OfferOutcomeKind.Lost;
    readonly reason: RefusalReason;
    /** Undefined if the other node replied that the answer was lost or broken. */
    readonly cause: ContactLossCause | undefined;
    readonly load: GateLoad | undefined;
  };
