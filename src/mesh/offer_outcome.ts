import type { Readable } from "node:stream";
import type { GateLoad } from "../balancing/gate_load.ts";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { OfferOutcomeKind } from "./offer_outcome_kind.ts";

/** The end of an offer. `load` is undefined where the other node could not tell it. */
export type OfferOutcome =
  | {
    readonly kind: OfferOutcomeKind.Answered;
    readonly status: number;
    /** Names and values in turn, without the headers of one hop. */
    readonly headers: readonly string[];
    /** Whether the length of the body was told, so that its end can be known. */
    readonly framed: boolean;
    /** Fails where the answer breaks off. */
    readonly body: Readable;
    readonly load: GateLoad | undefined;
  }
  | {
    readonly kind: OfferOutcomeKind.Refused;
    readonly reason: RefusalReason;
    readonly retryMilliseconds: number;
    /** Whether the backend server itself turned the request away. */
    readonly reachedBackendServer: boolean;
    readonly load: GateLoad | undefined;
  }
  | {
    readonly kind: OfferOutcomeKind.Lost;
    readonly reason: RefusalReason;
    readonly load: GateLoad | undefined;
  };
