import type { CallEventKind } from "./call_event_kind.ts";
import type { NodeRefusal } from "./node_refusal.ts";
import type { Refusal } from "./refusal.ts";
import type { Settlement } from "./settlement.ts";

/** What can happen to a call on the node that took it, with the details. */
export type CallEvent =
  | {
    readonly kind: CallEventKind.Sent;
    readonly backendServer: string;
    /** Whether the call went over a connection, which may go silent. */
    readonly remote: boolean;
    /** Whether it may still wait for a connection; `Heard` follows once it is written. */
    readonly awaitsConnection?: boolean;
  }
  | { readonly kind: CallEventKind.NoneChosen; readonly refusal: Refusal }
  | { readonly kind: CallEventKind.Refused; readonly refusal: NodeRefusal }
  | { readonly kind: CallEventKind.Settled; readonly settlement: Settlement }
  | {
    readonly kind: CallEventKind.NotSent;
    /** Whether the connection was refused: no process listens there. */
    readonly processGone: boolean;
  }
  | {
    readonly kind:
      | CallEventKind.Started
      | CallEventKind.Heard
      | CallEventKind.AnswerWhole
      | CallEventKind.AnswerStreams
      | CallEventKind.StreamEnded
      | CallEventKind.ContactLost
      | CallEventKind.SettlementFailed
      | CallEventKind.Woke
      | CallEventKind.CallerLeft
      | CallEventKind.Stopped;
  };
