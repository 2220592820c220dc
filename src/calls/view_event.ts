import type { PeerRecord } from "../peers/peer_record.ts";
import type { ViewEventKind } from "./view_event_kind.ts";

/** An event that changes a node's view of a backend server, with its details. */
export type ViewEvent =
  | { readonly kind: ViewEventKind.LoadReported; readonly freeSlots: number }
  | { readonly kind: ViewEventKind.RecordReceived; readonly record: PeerRecord }
  | {
    readonly kind: ViewEventKind.ContactFailed;
    /** Whether the connection was refused, so no process listens at the node's address. */
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
