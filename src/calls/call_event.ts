import type { CallEventKind } from "./call_event_kind.ts";
import type { NodeRefusal } from "./node_refusal.ts";
import type { Refusal } from "./refusal.ts";
import type { Settlement } from "./settlement.ts";

/** An event of a call on the node that received it from its caller, with its details. */
export type CallEvent =
  | {
    readonly kind: CallEventKind.Sent;
    readonly backendServer: string;
    /** Whether the call was sent over a network connection, on which silence has to be detected. */
    readonly remote: boolean;
    /**
     * Whether the call may still wait for a connection; another event reports
     * when it is written.
     */
    readonly awaitsConnection?: boolean;
  }
  | { readonly kind: CallEventKind.NoCandidate; readonly refusal: Refusal }
  | { readonly kind: CallEventKind.Refused; readonly refusal: NodeRefusal }
  | {
    readonly kind: CallEventKind.SettlementReceived;
    readonly settlement: Settlement;
  }
  | {
    readonly kind: CallEventKind.NotSent;
    /** Whether the connection was refused, so no process listens at the node's address. */
    readonly processGone: boolean;
  }
  | {
    readonly kind:
      | CallEventKind.Started
      | CallEventKind.ActivityObserved
      | CallEventKind.AnswerCompleted
      | CallEventKind.StreamStarted
      | CallEventKind.StreamEnded
      | CallEventKind.ContactLost
      | CallEventKind.OutcomeQueryFailed
      | CallEventKind.TimerFired
      | CallEventKind.CallerLeft
      | CallEventKind.Stopped;
  };
