import type { PeerRecord } from "../peers/peer_record.ts";
import type { ViewEventKind } from "./view_event_kind.ts";

/** What a node learns of a backend server that it sends calls to, with the details. */
export type ViewEvent =
  | { readonly kind: ViewEventKind.LoadReported; readonly freeSlots: number }
  | { readonly kind: ViewEventKind.RecordReceived; readonly record: PeerRecord }
  | {
    readonly kind: ViewEventKind.ContactFailed;
    /** Whether the connection was refused: no process listens there. */
    readonly processGone: boolean;
  }
  | {
    readonly kind:
      | ViewEventKind.CallSent
      | ViewEventKind.CallEnded
      | ViewEventKind.ContactMade
      | ViewEventKind.WorkRefused
      | ViewEventKind.WorkAccepted;
  };
